import type { Fault } from '../Diagnostic.js';
import { getExpectedChoice } from '../getSuggestion.js';
import type { ClassRule, Rules, ServiceClass } from '../Register.js';
import { isPathUnder } from '../ClassMatcher/normalizePath.js';
import { getDuplicateFaults } from './getDuplicateFaults.js';

/** The floors must sum to less than this, so that most dispatches follow the order of the tiers. */
const FLOOR_SUM_LIMIT = 0.5;
/** Exceeds the rounding error of a sum of decimal fractions. */
const ROUNDING_TOLERANCE = 1e-9;

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
    const isFirstOver =
      sum >= FLOOR_SUM_LIMIT - ROUNDING_TOLERANCE && before < FLOOR_SUM_LIMIT - ROUNDING_TOLERANCE;
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

function checkClassNames(rule: ClassRule, index: number, classes: readonly string[]): Fault[] {
  const references = [
    { key: 'class', value: rule.class },
    { key: 'wishedClass', value: rule.wishedClass },
  ];
  return references.flatMap(({ key, value }) =>
    value === undefined || classes.includes(value)
      ? []
      : [
          {
            path: ['classRules', index, key],
            reason: `unknown class "${value}"`,
            expected: getExpectedChoice(value, classes),
          },
        ],
  );
}

/** Whether the earlier rule matches every request that the later one matches. */
function isShadowed(later: ClassRule, earlier: ClassRule): boolean {
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
 * Finds rules that never decide because an earlier rule matches all of their requests. Such a rule has
 * no effect: a hold that it should make unrepeatable would keep the class of the earlier rule.
 */
function checkRuleOrder(rules: readonly ClassRule[]): Fault[] {
  return rules.flatMap((rule, index) => {
    const shadowing = rules.slice(0, index).findIndex((earlier) => isShadowed(rule, earlier));
    return shadowing === -1
      ? []
      : [
          {
            path: ['classRules', index],
            reason: `never matches, because classRules[${shadowing}] matches all it could`,
            expected: 'the narrower rule before the wider one',
          },
        ];
  });
}

/** Returns the faults that the schema cannot express, such as duplicate or unknown class names. */
export function checkRules(rules: Rules): Fault[] {
  const names = rules.classes.map(({ name }) => name);
  return [
    ...getDuplicateFaults(
      'class name',
      names.map((value, index) => ({ value, path: ['classes', index, 'name'] })),
    ),
    ...rules.classes.flatMap(checkClass),
    ...checkFloors(rules.classes),
    ...rules.classRules.flatMap((rule, index) => checkClassNames(rule, index, names)),
    ...checkRuleOrder(rules.classRules),
  ];
}
