//! Explanations of single decisions for operators.
