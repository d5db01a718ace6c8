//! Tests of the whole path: real instances as processes, stand-ins in the test.

mod command_line;
mod configuration;
mod dispatch_once;
mod explain;
mod helper;
mod limits;
mod planned_stop;
mod suspects;
mod whole_answer;
mod whole_path;
