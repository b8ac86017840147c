import type { Fault } from '../Diagnostic.js';
import { getChoice } from '../getSuggestion.js';
import type { ClassRule, Rules, ServiceClass } from '../Register.js';
import { isPathUnder } from '../ClassMatcher/normalizePath.js';
import { getRepeats } from './getDuplicateFaults.js';

/** Floors may hold back at most this share of a service from the order of the tiers. */
const FLOOR_SUM_LIMIT = 0.5;
/** Sums of decimal fractions miss by less than this. */
const ROUNDING = 1e-9;

function checkClass(serviceClass: ServiceClass, index: number): Fault[] {
  const { deadline, target, preemptible, repeatable } = serviceClass;
  const faults: Fault[] = [];
  if (deadline < target.firstToken) {
    faults.push({
      path: ['classes', index, 'deadline'],
      reason: `the deadline of ${deadline} ms is below the target of ${target.firstToken} ms`,
      expected: `at least ${target.firstToken}`,
    });
  }
  if (preemptible && !repeatable) {
    faults.push({
      path: ['classes', index, 'preemptible'],
      reason: 'a request that may not be repeated cannot be stopped and resumed',
      expected: 'preemptible false, or repeatable true',
    });
  }
  return faults;
}

function checkFloors(classes: readonly ServiceClass[]): Fault[] {
  let sum = 0;
  return classes.flatMap(({ floor }, index) => {
    const before = sum;
    sum += floor;
    const isFirstOver = sum >= FLOOR_SUM_LIMIT - ROUNDING && before < FLOOR_SUM_LIMIT - ROUNDING;
    return isFirstOver
      ? [
          {
            path: ['classes', index, 'floor'],
            reason: `the floors up to here sum to ${Number(sum.toFixed(6))}`,
            expected: `all floors together under ${FLOOR_SUM_LIMIT}`,
          },
        ]
      : [];
  });
}

function checkRuleNames(rule: ClassRule, index: number, classes: readonly string[]): Fault[] {
  const named = [
    { key: 'class', value: rule.class },
    { key: 'wishedClass', value: rule.wishedClass },
  ];
  return named.flatMap(({ key, value }) =>
    value === undefined || classes.includes(value)
      ? []
      : [
          {
            path: ['classRules', index, key],
            reason: `unknown class "${value}"`,
            expected: getChoice(value, classes),
          },
        ],
  );
}

/** Whether every request that the later rule matches is matched by the earlier one too. */
function isCovered(later: ClassRule, earlier: ClassRule): boolean {
  return (
    earlier.service === later.service &&
    (earlier.method === undefined || earlier.method === later.method) &&
    (earlier.workspace === undefined || earlier.workspace === later.workspace) &&
    (earlier.wishedClass === undefined || earlier.wishedClass === later.wishedClass) &&
    (earlier.maxTokensAtMost === undefined ||
      (later.maxTokensAtMost ?? Number.POSITIVE_INFINITY) <= earlier.maxTokensAtMost) &&
    (earlier.pathPrefix === undefined ||
      (later.pathPrefix !== undefined && isPathUnder(later.pathPrefix, earlier.pathPrefix)))
  );
}

/**
 * A rule that an earlier one covers never decides: an operator who appends it sees no effect, and a
 * hold meant to be unrepeatable would keep the class above it.
 */
function checkOrder(rules: readonly ClassRule[]): Fault[] {
  return rules.flatMap((rule, index) => {
    const cover = rules.slice(0, index).findIndex((earlier) => isCovered(rule, earlier));
    return cover === -1
      ? []
      : [
          {
            path: ['classRules', index],
            reason: `never matches, because classRules[${cover}] matches all it could`,
            expected: 'the narrower rule before the wider one',
          },
        ];
  });
}

/** Faults of rules that only show when they are held against each other. */
export function checkRules(rules: Rules): Fault[] {
  const names = rules.classes.map(({ name }) => name);
  return [
    ...getRepeats(
      'class name',
      names.map((value, index) => ({ value, path: ['classes', index, 'name'] })),
    ),
    ...rules.classes.flatMap(checkClass),
    ...checkFloors(rules.classes),
    ...rules.classRules.flatMap((rule, index) => checkRuleNames(rule, index, names)),
    ...checkOrder(rules.classRules),
  ];
}
