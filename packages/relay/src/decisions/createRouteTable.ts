import type { Route } from '../types';
import type { RouteTable } from './types';

/** Finds routes by host name and path prefix; a lookup takes one step per slash in the path. */
export default function createRouteTable(routes: readonly Route[]): RouteTable {
  const byHost = new Map<string, Map<string, Route>>();
  routes.forEach((route) => {
    const hostName = route.hostName.toLowerCase();
    const prefixes = byHost.get(hostName) ?? new Map<string, Route>();
    prefixes.set(route.pathPrefix, route);
    byHost.set(hostName, prefixes);
  });

  return {
    tryMatch(hostName, path) {
      const prefixes = byHost.get(hostName);
      let end = path.lastIndexOf('/');
      while (prefixes !== undefined && end >= 0) {
        const route = prefixes.get(path.slice(0, end + 1));
        if (route !== undefined) {
          return route;
        }
        end = end === 0 ? -1 : path.lastIndexOf('/', end - 1);
      }
      return undefined;
    },
  };
}
