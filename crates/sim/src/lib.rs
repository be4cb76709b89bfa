//! The decision cores under virtual time, simulated networks, disks and seeded faults.
