import type { ClassRule, Rules, ServiceClass } from '../Register.js';
import { normalizePath, isPathUnder } from './normalizePath.js';

/**
 * The attributes of a request that determine its class.
 *
 * @public
 */
export interface RequestAttributes {
  service: string;
  workspace: string;
  /** HTTP method in upper case; absent for chat requests. */
  method?: string;
  /** The path as the caller sent it; absent for chat requests. */
  path?: string;
  /** The token limit of a chat request; absent when it sets none. */
  maxTokens?: number;
  /** The class that the caller asks for; it only matters where a rule names it. */
  wishedClass?: string;
}

/** Name of a condition of a rule. */
export type ClassCondition =
  'service' | 'workspace' | 'method' | 'pathPrefix' | 'maxTokensAtMost' | 'wishedClass';

/**
 * The result of evaluating one rule: the condition that failed, or none when the rule matched.
 *
 * @public
 */
export interface RuleEvaluation {
  /** Index in `classRules`. */
  index: number;
  rule: ClassRule;
  failed: ClassCondition | undefined;
}

/** A rule with its class and its index in `classRules`. */
interface IndexedRule {
  index: number;
  rule: ClassRule;
  serviceClass: ServiceClass;
}

/** The rules of one service; those for a workspace are indexed by it, since there can be thousands. */
interface ServiceRules {
  general: IndexedRule[];
  byWorkspace: Map<string, IndexedRule[]>;
}

/** Returns the first condition that the request does not meet; `path` is the normalized path. */
function getFailedCondition(
  rule: ClassRule,
  attributes: RequestAttributes,
  path: string | undefined,
): ClassCondition | undefined {
  if (rule.service !== attributes.service) {
    return 'service';
  }
  if (rule.workspace !== undefined && rule.workspace !== attributes.workspace) {
    return 'workspace';
  }
  if (rule.method !== undefined && rule.method !== attributes.method) {
    return 'method';
  }
  if (
    rule.pathPrefix !== undefined &&
    (path === undefined || !isPathUnder(path, rule.pathPrefix))
  ) {
    return 'pathPrefix';
  }
  if (
    rule.maxTokensAtMost !== undefined &&
    (attributes.maxTokens === undefined || attributes.maxTokens > rule.maxTokensAtMost)
  ) {
    return 'maxTokensAtMost';
  }
  return rule.wishedClass !== undefined && rule.wishedClass !== attributes.wishedClass
    ? 'wishedClass'
    : undefined;
}

function getNormalizedPath(attributes: RequestAttributes): string | undefined {
  return attributes.path === undefined ? undefined : normalizePath(attributes.path);
}

/**
 * Determines the class of requests. A matcher is created once per configuration and indexes its rules,
 * so that a request is only compared with the rules of its own service and workspace.
 *
 * @example
 * ```ts
 * const matcher = new ClassMatcher(configuration.rules);
 * const serviceClass = matcher.getClass({ service: 'bodega-app', workspace, method, path });
 * ```
 * @public
 */
export class ClassMatcher {
  private readonly services = new Map<string, ServiceRules>();

  /** @param rules - rules that passed {@link parseRules} */
  constructor(private readonly rules: Rules) {
    const classes = new Map(rules.classes.map((entry) => [entry.name, entry]));
    rules.classRules.forEach((rule, index) => {
      const serviceClass = classes.get(rule.class);
      if (serviceClass !== undefined) {
        this.addRule({ index, rule, serviceClass });
      }
    });
  }

  /** Returns the class of the first rule that matches, or undefined when none does. */
  getClass(attributes: RequestAttributes): ServiceClass | undefined {
    const rules = this.services.get(attributes.service);
    if (rules === undefined) {
      return undefined;
    }
    const path = getNormalizedPath(attributes);
    const matches = ({ rule }: IndexedRule) =>
      getFailedCondition(rule, attributes, path) === undefined;
    const workspaceRule = rules.byWorkspace.get(attributes.workspace)?.find(matches);
    const general = rules.general.find(matches);
    if (workspaceRule === undefined || general === undefined) {
      return (workspaceRule ?? general)?.serviceClass;
    }
    return workspaceRule.index < general.index ? workspaceRule.serviceClass : general.serviceClass;
  }

  /** Returns all rules up to the first that matches, each with the condition that failed. */
  explain(attributes: RequestAttributes): RuleEvaluation[] {
    const path = getNormalizedPath(attributes);
    const evaluations = this.rules.classRules.map((rule, index) => ({
      index,
      rule,
      failed: getFailedCondition(rule, attributes, path),
    }));
    const decided = evaluations.findIndex(({ failed }) => failed === undefined);
    return decided === -1 ? evaluations : evaluations.slice(0, decided + 1);
  }

  private addRule(entry: IndexedRule): void {
    const { service, workspace } = entry.rule;
    const rules: ServiceRules = this.services.get(service) ?? {
      general: [],
      byWorkspace: new Map(),
    };
    this.services.set(service, rules);
    if (workspace === undefined) {
      rules.general.push(entry);
      return;
    }
    const workspaceRules = rules.byWorkspace.get(workspace) ?? [];
    rules.byWorkspace.set(workspace, workspaceRules);
    workspaceRules.push(entry);
  }
}

/**
 * Returns the class of one request. For many requests, create a {@link ClassMatcher} once.
 *
 * @example
 * ```ts
 * const serviceClass = getClass(rules, { service: 'kielimalli', workspace, maxTokens: 200 });
 * ```
 * @public
 */
export function getClass(rules: Rules, attributes: RequestAttributes): ServiceClass | undefined {
  return new ClassMatcher(rules).getClass(attributes);
}
