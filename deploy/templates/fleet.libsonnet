// A fleet from one pattern: places m1, m2, ... at ports from `port` on, each with a configuration in `configs`.
{
  fleet(folder, instances, surge, port, configs):: {
    folder: folder,
    instances: instances,
    surge: surge,
    places: [
      { name: 'm%d' % i, listen: '127.0.0.1:%d' % (port + i), config: '%s/m%d.json' % [configs, i] }
      for i in std.range(1, instances + surge)
    ],
  },
}
