import * as fc from 'fast-check';
import { ClassMatcher, getClass, normalizePath } from '../../index.js';
import type { ClassRule, RequestAttributes, Rules, ServiceClass } from '../../index.js';

const NAMES = ['hold', 'check', 'draft'];

function createClass(name: string): ServiceClass {
  return {
    name,
    tier: 0,
    target: { firstToken: 1, tokenGap: 0 },
    deadline: 1,
    floor: 0,
    preemptible: false,
    repeatable: false,
  };
}

const classes = NAMES.map(createClass);
/** Mostly undefined, so that several rules match the same request and their order matters. */
const optional = <Value>(...values: Value[]) =>
  fc.oneof({ weight: 3, arbitrary: fc.constant(undefined) }, fc.constantFrom(...values));
const rule: fc.Arbitrary<ClassRule> = fc.record({
  service: fc.constantFrom('app', 'model'),
  class: fc.constantFrom(...NAMES),
  method: optional('GET', 'POST'),
  pathPrefix: optional('/', '/a', '/a/b'),
  workspace: optional('w1', 'w2'),
  maxTokensAtMost: optional(10, 100),
  wishedClass: optional(...NAMES),
});
const attributes: fc.Arbitrary<RequestAttributes> = fc.record({
  service: fc.constantFrom('app', 'model', 'other'),
  workspace: fc.constantFrom('w1', 'w2', 'w3'),
  method: optional('GET', 'POST'),
  path: optional('/', '/a', '/ab', '/a/b/c'),
  maxTokens: optional(10, 50, 1000),
  wishedClass: optional(...NAMES),
});

describe('ClassMatcher', () => {
  it('gives the same class as trying every rule in order', () => {
    fc.assert(
      fc.property(
        fc.array(rule, { minLength: 2, maxLength: 8 }),
        attributes,
        (classRules, request) => {
          const rules: Rules = { classes, classRules };
          const matcher = new ClassMatcher(rules);
          const decided = matcher.explain(request).find(({ failed }) => failed === undefined);
          expect(matcher.getClass(request)?.name).toBe(decided?.rule.class);
        },
      ),
      { seed: 1, numRuns: 2000 },
    );
  });

  // Guards against a hold that is run twice: the caller spells the path of holds in another way that the
  // service treats as the same. If rules were matched against the path as sent, the general rule would
  // give the hold a class whose requests may be repeated.
  it.each([
    '/holds/7',
    '//holds/7',
    '/x/../holds/7',
    '/./holds',
    '/%68olds/7',
    '/x%2f..%2fholds',
    '/holds?now',
    '/holds;v=1/7',
    '\\holds',
  ])('recognizes the path of holds in %s', (path) => {
    const classRules = [
      { service: 'app', pathPrefix: '/holds', class: 'hold' },
      { service: 'app', class: 'check' },
    ];
    const request = { service: 'app', workspace: 'w1', method: 'POST' };
    expect(getClass({ classes, classRules }, { ...request, path })?.name).toBe('hold');
    expect(getClass({ classes, classRules }, { ...request, path: '/holdsx' })?.name).toBe('check');
  });

  it('leaves a normal path unchanged and accepts a malformed escape', () => {
    expect(normalizePath('/a/b')).toBe('/a/b');
    expect(normalizePath('/%zz/../a%')).toBe('/a%');
  });
});
