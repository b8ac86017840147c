import { ServiceKind } from '@apricotrill/model';
import type { ClassRule, Configuration } from '@apricotrill/model';

/** The `max_tokens` of chat calls whose class rule has no token limit. */
const DEFAULT_MAX_TOKENS = 300;

/**
 * The kind and the parameters of a call.
 *
 * @internal
 */
export type CallShape =
  | { kind: 'chat'; model: string; maxTokens: number; wishedClass: string | undefined }
  | { kind: 'plain'; method: string; path: string; needsKey: boolean };

/**
 * A class and the call that leads to it.
 *
 * @internal
 */
export interface ClassCall {
  className: string;
  tier: number;
  target: number;
  shape: CallShape;
}

function getShape(configuration: Configuration, rule: ClassRule, repeatable: boolean): CallShape {
  const service = configuration.register.services.find(({ name }) => name === rule.service);
  if (service?.kind === ServiceKind.Model) {
    return {
      kind: 'chat',
      model: service.models[0] ?? '',
      maxTokens:
        rule.maxTokensAtMost === undefined
          ? DEFAULT_MAX_TOKENS
          : Math.min(60, rule.maxTokensAtMost),
      wishedClass: rule.wishedClass,
    };
  }
  const method = rule.method ?? 'POST';
  const path = `/services/${rule.service}${rule.pathPrefix ?? '/demo'}`;
  return { kind: 'plain', method, path, needsKey: !repeatable };
}

/**
 * Returns one call for each class, derived from the first rule that leads to it.
 *
 * @example
 * ```ts
 * const calls = getClassCalls(configuration);
 * ```
 * @internal
 */
export function getClassCalls(configuration: Configuration): ClassCall[] {
  const { classes, classRules } = configuration.rules;
  return classes.flatMap(({ name, tier, target, repeatable }) => {
    const rule = classRules.find((candidate) => candidate.class === name);
    return rule === undefined
      ? []
      : [
          {
            className: name,
            tier,
            target: target.firstToken,
            shape: getShape(configuration, rule, repeatable),
          },
        ];
  });
}
