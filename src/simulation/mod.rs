//! A simulation of the control plane: whole controllers under drawn faults in virtual time.
mod callers;
pub mod change_faults;
mod checker;
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
