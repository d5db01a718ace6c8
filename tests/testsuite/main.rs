//! Tests of the whole path: real instances as processes, stand-ins in the test.

mod helper;
mod planned_stop;
mod whole_path;
