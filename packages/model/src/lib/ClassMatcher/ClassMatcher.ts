import type { ClassRule, Rules, ServiceClass } from '../Register.js';
import { normalizePath, isPathUnder } from './normalizePath.js';

/**
 * What a request shows of itself before it is given a class.
 *
 * @public
 */
export interface RequestAttributes {
  service: string;
  workspace: string;
  /** Upper case, as HTTP has it; absent for chat requests. */
  method?: string;
  /** As the caller sent it; absent for chat requests. */
  path?: string;
  /** The most tokens a chat request asks for; absent when it sets no limit. */
  maxTokens?: number;
  /** The class the caller wishes for; a wish counts only where a rule says so. */
  wishedClass?: string;
}

/** A condition of a rule. */
export type ClassCondition =
  'service' | 'workspace' | 'method' | 'pathPrefix' | 'maxTokensAtMost' | 'wishedClass';

/**
 * What became of one rule: the condition that failed, or none when it matched.
 *
 * @public
 */
export interface RuleEvaluation {
  /** Its place in `classRules`. */
  index: number;
  rule: ClassRule;
  failed: ClassCondition | undefined;
}

/** One rule with its class looked up and its place kept. */
interface IndexedRule {
  index: number;
  rule: ClassRule;
  serviceClass: ServiceClass;
}

/** The rules of one service; rules for one workspace are kept apart, since they can be thousands. */
interface ServiceRules {
  general: IndexedRule[];
  byWorkspace: Map<string, IndexedRule[]>;
}

/** The first condition that the request does not meet; `path` is normal. */
function getFailedCondition(
  rule: ClassRule,
  facts: RequestAttributes,
  path: string | undefined,
): ClassCondition | undefined {
  if (rule.service !== facts.service) {
    return 'service';
  }
  if (rule.workspace !== undefined && rule.workspace !== facts.workspace) {
    return 'workspace';
  }
  if (rule.method !== undefined && rule.method !== facts.method) {
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
    (facts.maxTokens === undefined || facts.maxTokens > rule.maxTokensAtMost)
  ) {
    return 'maxTokensAtMost';
  }
  return rule.wishedClass !== undefined && rule.wishedClass !== facts.wishedClass
    ? 'wishedClass'
    : undefined;
}

function getPath(facts: RequestAttributes): string | undefined {
  return facts.path === undefined ? undefined : normalizePath(facts.path);
}

/**
 * Finds the class of requests. One matcher is made for each configuration, so that a request is
 * held only against the rules of its own service and workspace.
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
        this.add({ index, rule, serviceClass });
      }
    });
  }

  /** The class of the first rule that matches, or undefined when none does. */
  getClass(facts: RequestAttributes): ServiceClass | undefined {
    const rules = this.services.get(facts.service);
    if (rules === undefined) {
      return undefined;
    }
    const path = getPath(facts);
    const isMatch = ({ rule }: IndexedRule) => getFailedCondition(rule, facts, path) === undefined;
    const own = rules.byWorkspace.get(facts.workspace)?.find(isMatch);
    const general = rules.general.find(isMatch);
    if (own === undefined || general === undefined) {
      return (own ?? general)?.serviceClass;
    }
    return own.index < general.index ? own.serviceClass : general.serviceClass;
  }

  /** Every rule up to the one that decides, with the condition that ruled it out. */
  explain(facts: RequestAttributes): RuleEvaluation[] {
    const path = getPath(facts);
    const trials = this.rules.classRules.map((rule, index) => ({
      index,
      rule,
      failed: getFailedCondition(rule, facts, path),
    }));
    const decided = trials.findIndex(({ failed }) => failed === undefined);
    return decided === -1 ? trials : trials.slice(0, decided + 1);
  }

  private add(entry: IndexedRule): void {
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
    const own = rules.byWorkspace.get(workspace) ?? [];
    rules.byWorkspace.set(workspace, own);
    own.push(entry);
  }
}

/**
 * The class of one request. Where many are asked for, make a {@link ClassMatcher} once.
 *
 * @example
 * ```ts
 * const serviceClass = getClass(rules, { service: 'kielimalli', workspace, maxTokens: 200 });
 * ```
 * @public
 */
export function getClass(rules: Rules, facts: RequestAttributes): ServiceClass | undefined {
  return new ClassMatcher(rules).getClass(facts);
}
