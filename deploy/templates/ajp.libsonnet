// What most AJP fronts have in common; a site adds to it with `+`.
{
  // One path for each class, by POST; `prefix` goes before the class's name.
  routes(classes, prefix='/'):: [{ path: prefix + class, class: class } for class in classes],

  front(listen, classes):: {
    listen: listen,
    routes: $.routes(classes),
    figures: {
      id: 'X-Request-Id',
      work_ms: 'X-Work-Ms',
      memory_kb: 'X-Memory-Kb',
      rank: 'X-Rank',
      caller: 'X-Caller',
      subject: 'X-Subject',
      key: 'Idempotency-Key',
    },
  },
}
