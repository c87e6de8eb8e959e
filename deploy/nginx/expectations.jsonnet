// What the routes have to do; `cleatpulley routes check deploy/nginx/matchers.conf deploy/nginx/expectations.jsonnet`.
local host = 'match.example.org';

{
  subjects: { header: 'X-Subject', popular: ['racer-1', 'guest-1'], samples: 5000, pattern: 'racer-%d', numbers: 32000 },
  expect: [
    {
      name: 'seats are claimed in cell a, whoever asks',
      requests: [{ host: host, path: '/claim-seat' }],
      lands: { pools: ['cell_a'], class: 'claim-seat' },
    },
    {
      name: 'guests look at lobbies in cell b',
      requests: [{ host: host, under: '/lobby', subjects: ['guest-1', 'guest-77'] }],
      lands: { pools: ['cell_b'] },
    },
    { name: 'nothing else is served', requests: [{ host: host, path: '/admin' }], lands: { status: 404 } },
  ],
}
