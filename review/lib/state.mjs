/* eslint-disable import-x/prefer-default-export --
   Node needs the extensions of modules; the steps of a case follow each other */
// A desired state like that of a small deployment, by the page PROTOCOL.

/** Routes of all kinds: chat (may be resumed), talk (may not), pay (runs once) and check (may repeat). */
export function createState(version = 7, change = {}) {
  const route = {
    hostname: 'ficu95.example',
    targetLatencyMs: 300,
    priority: 0,
    maxAttempts: 2,
    public: false,
    sessionAffinity: false,
    streamResume: false,
  };
  return {
    version,
    routes: [
      {
        ...route,
        name: 'r-chat',
        pathPrefix: '/chat/',
        routeType: 'streaming',
        timeoutMs: 15000,
        backend: 'huvo11a',
        streamResume: true,
        sessionAffinity: true,
        itlTargetMs: 200,
        ...change.chat,
      },
      {
        ...route,
        name: 'r-talk',
        pathPrefix: '/talk/',
        routeType: 'streaming',
        timeoutMs: 5000,
        backend: 'huvo11a',
        maxAttempts: 1,
        sessionAffinity: true,
        itlTargetMs: 300,
        priority: 1,
        ...change.talk,
      },
      {
        ...route,
        name: 'r-pay',
        pathPrefix: '/pay/',
        routeType: 'non_idempotent',
        timeoutMs: 800,
        targetLatencyMs: 100,
        backend: 'wuno96b',
        maxAttempts: 1,
        priority: 2,
        ...change.pay,
      },
      {
        ...route,
        name: 'r-check',
        pathPrefix: '/check/',
        routeType: 'idempotent',
        timeoutMs: 800,
        targetLatencyMs: 100,
        backend: 'wuno96b',
        priority: 2,
        ...change.check,
      },
    ],
    backends: [
      {
        name: 'huvo11a',
        healthCheckPath: '/healthz',
        maxConnections: 630,
        protocol: 'h1',
        tls: false,
        runtime: {
          maxConcurrency: 128,
          kvCapacity: 255708,
          kvBytes: 262144,
          bandwidthMbps: 200000,
          moves: true,
          backups: true,
          stride: 4,
          most: 12,
          pinMs: 4000,
          holdMs: 2000,
          cacheHandleS: 5,
          models: [{ name: 'm' }],
        },
        ...change.engines,
      },
      {
        name: 'wuno96b',
        healthCheckPath: '/healthz',
        maxConnections: 110,
        protocol: 'h1',
        tls: false,
        ...change.app,
      },
    ],
    limits: {
      maxHeaderBytes: 16384,
      maxBodyBytes: 4194304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15000,
    },
    tenants: [{ name: 'huka270', apiKeys: ['key-1', 'key-2'], priority: 1 }],
  };
}
