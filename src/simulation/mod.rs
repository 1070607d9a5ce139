//! A deterministic simulation of the control plane: complete controllers run in virtual time under
//! random faults.
mod callers;
pub mod change_faults;
mod checker;
mod commit_holder_faults;
mod commits;
mod databases;
mod events;
mod faults;
mod machines;
mod network;
mod nodes;
mod operators;
mod recorded_effects;
pub mod runner;
pub mod schedule;
mod world;
