import * as fc from 'fast-check';
import { HEAP_KINDS, HeldKind, PROCESS_KINDS } from '../HeldKind.js';
import { HeldBytes } from './HeldBytes.js';

const OWNERS = 5;

const KINDS = Object.values(HeldKind);

/** Sets the bytes of a kind, or releases the holding if there is no kind. */
const steps = fc.array(
  fc.record({
    owner: fc.nat(OWNERS - 1),
    kind: fc.option(fc.constantFrom(...KINDS), { nil: undefined, freq: 4 }),
    bytes: fc.nat(1_000),
  }),
);

describe('HeldBytes', () => {
  // Guards against counts that drift, after which a daemon refuses requests though it holds nothing.
  it('counts what is held, and nothing after any order of changes and ends', () => {
    fc.assert(
      fc.property(steps, (sequence) => {
        const held = new HeldBytes();
        const holdings = Array.from({ length: OWNERS }, () => held.open());
        const expected = new Map<string, number>();
        const released = new Set<number>();
        sequence.forEach(({ owner, kind, bytes }) => {
          if (kind === undefined) {
            holdings[owner]!.release();
            released.add(owner);
            KINDS.forEach((each) => expected.delete(`${owner} ${each}`));
          } else {
            holdings[owner]!.set(kind, bytes);
            if (!released.has(owner)) {
              expected.set(`${owner} ${kind}`, bytes);
            }
          }
          const getSum = (kinds: ReadonlySet<HeldKind>) =>
            [...expected]
              .filter(([name]) => kinds.has(name.split(' ')[1] as HeldKind))
              .reduce((total, [, each]) => total + each, 0);
          expect(held.total).toBe(getSum(PROCESS_KINDS));
          expect(held.heapTotal).toBe(getSum(HEAP_KINDS));
        });
        holdings.forEach((holding) => holding.release());
        expect([...held.getCounts()].map(([, bytes]) => bytes)).toEqual(KINDS.map(() => 0));
        expect(held.total).toBe(0);
        expect(held.heapTotal).toBe(0);
      }),
    );
  });

  it('counts each kind', () => {
    expect(new Set([...PROCESS_KINDS, ...HEAP_KINDS])).toEqual(new Set(KINDS));
  });

  it('calls back when less is held than before', () => {
    const held = new HeldBytes();
    const totals: number[] = [];
    held.onDecreased(() => totals.push(held.total));
    const holding = held.open();
    holding.set(HeldKind.Request, 5);
    holding.set(HeldKind.Response, 7);
    holding.set(HeldKind.Response, 3);
    holding.set(HeldKind.Request, 5);
    expect(totals).toEqual([8]);
    holding.release();
    expect(held.total).toBe(0);
  });
});
