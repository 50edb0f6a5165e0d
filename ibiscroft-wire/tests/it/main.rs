//! Tests of the border types.

mod claim_records;
mod generated;
mod generator;
mod questionnaire;
