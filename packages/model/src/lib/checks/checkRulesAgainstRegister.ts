import type { Fault } from '../Diagnostic.js';
import { getExpectedChoice } from '../getSuggestion.js';
import { ServiceKind } from '../Register.js';
import type { ClassRule, Register, Rules, Service } from '../Register.js';

/** Returns the conditions of the rule that no request to a service of this kind can meet. */
function getInapplicableConditions(rule: ClassRule, service: Service): string[] {
  const conditions =
    service.kind === ServiceKind.Model
      ? { method: rule.method, pathPrefix: rule.pathPrefix }
      : { maxTokensAtMost: rule.maxTokensAtMost };
  return Object.entries(conditions)
    .filter(([, value]) => value !== undefined)
    .map(([key]) => key);
}

function checkRule(
  rule: ClassRule,
  index: number,
  services: ReadonlyMap<string, Service>,
  workspaces: ReadonlySet<string>,
): Fault[] {
  const faults: Fault[] = [];
  const service = services.get(rule.service);
  if (service === undefined) {
    faults.push({
      path: ['classRules', index, 'service'],
      reason: `unknown service "${rule.service}"`,
      expected: getExpectedChoice(rule.service, [...services.keys()]),
    });
  } else {
    getInapplicableConditions(rule, service).forEach((key) => {
      faults.push({
        path: ['classRules', index, key],
        reason: `"${key}" never holds for a ${service.kind} service`,
        expected: `a rule without "${key}"`,
      });
    });
  }
  if (rule.workspace !== undefined && !workspaces.has(rule.workspace)) {
    faults.push({
      path: ['classRules', index, 'workspace'],
      reason: `unknown workspace "${rule.workspace}"`,
      expected: getExpectedChoice(rule.workspace, [...workspaces]),
    });
  }
  return faults;
}

/** Returns the faults of rules that do not fit the register. */
export function checkRulesAgainstRegister(rules: Rules, register: Register): Fault[] {
  const services = new Map(register.services.map((service) => [service.name, service]));
  const workspaces = new Set(register.workspaces.map(({ name }) => name));
  return rules.classRules.flatMap((rule, index) => checkRule(rule, index, services, workspaces));
}
