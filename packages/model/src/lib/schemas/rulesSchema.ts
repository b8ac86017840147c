import { z } from 'zod';
import { describeKey } from './describeKey.js';
import { NAME_TYPE, name, durationMs } from './scalars.js';

const MAX_TIER = 5;
const MAX_FLOOR = 0.2;
const POSITIVE_INTEGER_TYPE = 'whole number, 1 or more';

const target = z.strictObject({
  firstToken: describeKey(durationMs(), {
    type: POSITIVE_INTEGER_TYPE,
    unit: 'ms',
    meaning: 'Time to the first token, or to the whole answer of a plain call.',
  }),
  tokenGap: describeKey(z.int().min(0).default(0), {
    type: 'whole number, 0 or more',
    unit: 'ms',
    meaning: 'The longest usual gap between two tokens; 0 for plain calls.',
  }),
});

const serviceClass = z.strictObject({
  name: describeKey(name(), { type: NAME_TYPE, meaning: 'Unique; shown in metrics and logs.' }),
  tier: describeKey(z.int().min(0).max(MAX_TIER), {
    type: `whole number, 0 to ${MAX_TIER}`,
    meaning: '0 is the most urgent. A lower tier is never served at the cost of a higher one.',
  }),
  target: describeKey(target, { type: 'object', meaning: 'What the class promises its callers.' }),
  deadline: describeKey(durationMs(), {
    type: POSITIVE_INTEGER_TYPE,
    unit: 'ms',
    meaning:
      'A request that has not started its answer by then is refused; not below target.firstToken.',
  }),
  floor: describeKey(z.number().min(0).max(MAX_FLOOR).default(0), {
    type: `number, 0 to ${MAX_FLOOR}`,
    unit: 'share',
    meaning:
      "The least share of a service's dispatches this class gets while it waits; the sum over all classes stays under 0.5.",
  }),
  preemptible: describeKey(z.boolean().default(false), {
    type: 'true or false',
    meaning: 'Whether a running request may be stopped for a more urgent tier and resumed later.',
  }),
  repeatable: describeKey(z.boolean().default(false), {
    type: 'true or false',
    meaning: 'Whether a request may be run again after a fault; false for holds and payments.',
  }),
});

const classRule = z.strictObject({
  service: describeKey(name(), { type: 'name of a service', meaning: 'The service called.' }),
  class: describeKey(name(), { type: 'name of a class', meaning: 'The class a match is given.' }),
  method: describeKey(
    z
      .string()
      .regex(/^[A-Za-z]+$/)
      .toUpperCase()
      .optional(),
    {
      type: 'HTTP method',
      meaning: 'Matches calls with this method; any when absent. Plain services only.',
    },
  ),
  pathPrefix: describeKey(z.string().startsWith('/').optional(), {
    type: 'path that starts with "/"',
    meaning:
      'Matches this path and all below it (`/holds` and `/holds/7`, not `/holdsx`); any when absent. Plain services only.',
  }),
  workspace: describeKey(name().optional(), {
    type: 'name of a workspace',
    meaning: 'Matches calls of this workspace; any when absent.',
  }),
  maxTokensAtMost: describeKey(z.int().min(1).optional(), {
    type: POSITIVE_INTEGER_TYPE,
    unit: 'tokens',
    meaning:
      'Matches a chat request that asks for at most this many tokens; any when absent. Model services only.',
  }),
  wishedClass: describeKey(name().optional(), {
    type: 'name of a class',
    meaning:
      'Matches when the caller wishes for this class by the `x-apricotrill-class` header; any when absent.',
  }),
});

/** Schema of the rules file. */
export const rulesSchema = z.strictObject({
  classes: describeKey(z.array(serviceClass).min(1), {
    type: 'list of classes, at least one',
    meaning: 'What each kind of request is promised.',
  }),
  classRules: describeKey(z.array(classRule), {
    type: 'list of rules',
    meaning:
      'Which class a request belongs to: tried in order, the first that matches decides. A request that no rule matches is refused.',
  }),
});
