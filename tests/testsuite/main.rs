//! End-to-end tests: real instances as processes, with stand-ins for all else in the test process.

mod command_line;
mod configuration;
mod dispatch_once;
mod explain;
mod helper;
mod limits;
mod planned_stop;
mod signals;
mod suspects;
mod whole_answer;
mod whole_path;
