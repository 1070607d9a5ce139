//! A simulation of the control plane: whole controllers under drawn faults in virtual time.
pub mod actors;
pub mod runner;
pub mod schedule;
pub mod world;
