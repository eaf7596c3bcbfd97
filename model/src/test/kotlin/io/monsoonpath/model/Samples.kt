package io.monsoonpath.model

/** A small valid configuration with one keyed route to a pipeline of one stage. */
internal val SAMPLE_CONFIGURATION =
    """
    {
      "revision": 7,
      "domains": [{"id": "fd1", "region": "r1"}],
      "pools": [{"id": "encoders", "kind": "encode"}],
      "backends": [
        {"id": "b1", "url": "http://127.0.0.1:9101", "pool": "encoders", "domain": "fd1", "coldLoad": 1, "fullLoad": 8}
      ],
      "pipelines": [
        {"id": "tag", "deadlineMs": 2000, "stages": [{"id": "encode", "kind": "encode", "pool": "encoders", "path": "/encode"}]}
      ],
      "routes": [{"path": "/v1/tag", "pipeline": "tag"}],
      "workspaces": [{"id": "w1", "rateMilliPerS": 5000, "burst": 10}],
      "keys": []
    }
    """.trimIndent()

/** Valid settings of an instance. */
internal val SAMPLE_SETTINGS =
    """
    {
      "instance": "e1", "region": "r1", "failureDomain": "fd1",
      "caller": {"host": "127.0.0.1", "port": 8080},
      "peer": {"host": "127.0.0.1", "port": 8081},
      "operator": {"host": "127.0.0.1", "port": 8082},
      "platformUrl": "http://127.0.0.1:8500",
      "peerSecretFile": "peer.secret"
    }
    """.trimIndent()
