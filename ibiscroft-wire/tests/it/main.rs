//! Tests of `ibiscroft-wire`.

mod claim_records;
mod generated;
mod generator;
mod questionnaire;
