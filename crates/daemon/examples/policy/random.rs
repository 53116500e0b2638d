//! A seeded pseudorandom number generator, xorshift64* (Vigna, 2016).

/// A reproducible generator; the same seed gives the same sequence.
pub struct Generator(u64);

impl Generator {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 >> 12;
        self.0 ^= self.0 << 25;
        self.0 ^= self.0 >> 27;
        self.0.wrapping_mul(0x2545_F491_4F6C_DD1D)
    }

    /// Returns an integer below `limit`.
    pub fn below(&mut self, limit: u64) -> u64 {
        (self.next() >> 11) % limit
    }

    /// Returns a number from 0 to 1, both included.
    pub fn unit(&mut self) -> f64 {
        let high = u32::try_from(self.next() >> 32).unwrap_or(0);
        f64::from(high) / f64::from(u32::MAX)
    }

    /// Returns an exponentially distributed number with mean `mean`.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).max(1e-9).ln()
    }
}
