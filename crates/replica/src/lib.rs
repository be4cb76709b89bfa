//! A replica of many groups: consensus, storage and state driven together.
