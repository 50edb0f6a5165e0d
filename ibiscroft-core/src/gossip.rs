//! Spreads the newest registers and news among gateways.
