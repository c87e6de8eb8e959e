// Kept results of keyed requests; a site adds to it with `+`.
{
  // Each matcher needs a folder of its own on a disk that outlives it.
  kept(folder, classes):: {
    folder: folder,
    classes: classes,
    window_ms: 600000,
    max_entries: 200000,
    max_mb: 256,
    stall_ms: 100,
    entry_kb: 0.2,
    owner: 'caller',
    required: false,
  },
}
