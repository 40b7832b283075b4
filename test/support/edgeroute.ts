/** The routes of the configuration that an edge fleet publishes. */

/** A route of the one service, under a path prefix of its own name. */
export function routeOf(name: string, kind: string, timeoutMs: number): object {
  return {
    name,
    host: 'register.example',
    pathPrefix: `/${name}/`,
    kind,
    timeoutMs,
    sloMs: 500,
    priority: 1,
    service: 'register',
    maxAttempts: kind === 'non_idempotent' ? 1 : 2,
    public: false,
    sticky: false,
    resumable: kind === 'streaming',
  };
}
