//! Hash collections with a fast hasher.

/// A hash map with a fast hasher; decisions must not depend on its order.
pub type Map<K, V> = std::collections::HashMap<K, V, foldhash::fast::RandomState>;
/// A hash set with a fast hasher; decisions must not depend on its order.
pub type Set<K> = std::collections::HashSet<K, foldhash::fast::RandomState>;
