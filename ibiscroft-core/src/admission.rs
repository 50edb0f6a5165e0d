//! Bounded waiting and early refusal under overload.
