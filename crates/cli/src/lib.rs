//! The molespan command line.
