import * as fc from 'fast-check';
import { createRoute } from '../../test/fixtures.js';
import { RouteTable } from './RouteTable.js';

describe('RouteTable', () => {
  it('finds the route of the host with the longest matching prefix', () => {
    const short = createRoute({ name: 'short', pathPrefix: '/a/' });
    const long = createRoute({ name: 'long', pathPrefix: '/a/b/' });
    const other = createRoute({ name: 'other', host: 'b.example', pathPrefix: '/' });
    const table = new RouteTable([short, long, other]);
    expect(table.find('a.example', '/a/x')).toBe(short);
    expect(table.find('A.Example:80', '/a/b/c?d=/a/')).toBe(long);
    expect(table.find('a.example', '/a')).toBeUndefined();
    expect(table.find('b.example', '/a')).toBe(other);
    expect(table.find('c.example', '/')).toBeUndefined();
  });

  it('agrees with a linear search over all routes', () => {
    const segment = fc.constantFrom('a', 'b', 'ab', '');
    const prefix = fc.array(segment, { maxLength: 3 }).map((parts) => `/${parts.join('/')}/`);
    const path = fc.array(segment, { maxLength: 5 }).map((parts) => `/${parts.join('/')}`);
    fc.assert(
      fc.property(fc.uniqueArray(prefix, { maxLength: 6 }), path, (prefixes, target) => {
        const routes = prefixes.map((pathPrefix) => createRoute({ name: pathPrefix, pathPrefix }));
        const [expected] = routes
          .filter(({ pathPrefix }) => target.startsWith(pathPrefix))
          .sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
        expect(new RouteTable(routes).find('a.example', target)).toBe(expected);
      }),
      { seed: 7 },
    );
  });
});
