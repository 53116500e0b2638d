//! The cases of the review.

pub mod abandoned;
pub mod adapter;
pub mod crashing_part;
pub mod endless_heads;
pub mod origin;
