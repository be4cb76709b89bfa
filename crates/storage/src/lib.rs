//! Write-ahead log, snapshots, payload log and disk identity.
