import type { RelayRoute } from './RelayConfiguration.js';

/** Sorts longer prefixes first. */
function compareByPrefix(left: RelayRoute, right: RelayRoute): number {
  return right.pathPrefix.length - left.pathPrefix.length;
}

/**
 * Finds the route of a request: the route of its host with the longest prefix that matches the path. The
 * prefixes of the path are looked up one by one, so that the cost does not depend on the number of
 * routes.
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
   * @param host - host of the request, with or without a port
   * @param target - path and query as sent by the caller
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
