//! Checked settings of the daemon.
