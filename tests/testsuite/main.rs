//! Tests of the programs as processes with real sockets, and checks of the source code.

mod cluster;
mod command_lines;
mod end_to_end;
mod failures;
mod http;
mod operators;
mod sources;
mod story;
