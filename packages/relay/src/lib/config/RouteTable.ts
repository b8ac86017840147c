import type { RelayRoute } from './RelayConfiguration.js';

/** Longer prefixes go first. */
function compareByPrefix(left: RelayRoute, right: RelayRoute): number {
  return right.pathPrefix.length - left.pathPrefix.length;
}

/**
 * Finds the route of a request: of the routes of its host, the one whose prefix is the longest that
 * begins the path. A path is looked up by its prefixes, so that the cost does not grow with the
 * number of routes of a host.
 */
export class RouteTable {
  private readonly hosts = new Map<string, Map<string, RelayRoute>>();

  constructor(routes: readonly RelayRoute[]) {
    [...routes].sort(compareByPrefix).forEach((route) => {
      const host = route.host.toLowerCase();
      const prefixes = this.hosts.get(host) ?? new Map<string, RelayRoute>();
      this.hosts.set(host, prefixes);
      prefixes.set(route.pathPrefix, route);
    });
  }

  /**
   * @param host - the request's host, with or without a port
   * @param target - path and query as the caller sent them
   */
  find(host: string, target: string): RelayRoute | undefined {
    const prefixes = this.hosts.get(host.replace(/:\d+$/, '').toLowerCase());
    if (prefixes === undefined) {
      return undefined;
    }
    const [path] = target.split('?', 1);
    for (let end = path!.lastIndexOf('/'); end !== -1; end = path!.lastIndexOf('/', end - 1)) {
      const route = prefixes.get(path!.slice(0, end + 1));
      if (route !== undefined) {
        return route;
      }
      if (end === 0) {
        break;
      }
    }
    return undefined;
  }
}
