//! Hash collections with a fast, randomly seeded hasher.

/// A hash map; its iteration order is random, so no decision may depend on it.
pub type Map<K, V> = std::collections::HashMap<K, V, foldhash::fast::RandomState>;
/// A hash set; its iteration order is random, so no decision may depend on it.
pub type Set<K> = std::collections::HashSet<K, foldhash::fast::RandomState>;
