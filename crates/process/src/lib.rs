//! What all programs need when they start.

pub mod settings;
