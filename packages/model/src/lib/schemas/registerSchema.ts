import { z } from 'zod';
import { EngineRole, ServiceKind } from '../Register.js';
import { describeKey } from './describeKey.js';
import { NAME_TYPE, ipAddress, name, port, price } from './scalars.js';

/** `model[:adapter]@version`, the name by which engines load a model. */
const PLACEMENT_PATTERN = /^[^\s:@]+(:[^\s:@]+)?@[^\s:@]+$/;
const HASH_PATTERN = /^[0-9a-f]{64}$/;
const MAX_SLOTS = 10000;
const MAX_WEIGHT = 1000;

const service = z.strictObject({
  name: describeKey(name(), { type: NAME_TYPE, meaning: 'What callers ask for; unique.' }),
  kind: describeKey(z.enum(ServiceKind), {
    type: '"model" or "plain"',
    meaning: '"model" speaks chat completions; "plain" is reached by path.',
  }),
  region: describeKey(name(), { type: NAME_TYPE, meaning: 'The region its replicas stand in.' }),
  models: describeKey(z.array(z.string().min(1)).default([]), {
    type: 'list of model names',
    meaning: 'The models a model service serves, at least one; empty for a plain service.',
  }),
  costPerThousandTokens: describeKey(price().default(0), {
    type: 'number, 0 or more',
    unit: 'your currency',
    meaning: 'What 1,000 generated tokens cost.',
  }),
  costPerRequest: describeKey(price().default(0), {
    type: 'number, 0 or more',
    unit: 'your currency',
    meaning: 'What one call costs.',
  }),
});

const replica = z.strictObject({
  id: describeKey(name(), {
    type: NAME_TYPE,
    meaning: "Unique; the same as in the platform's list of instances.",
  }),
  service: describeKey(name(), {
    type: 'name of a service',
    meaning: 'The service it is a copy of.',
  }),
  availabilityZone: describeKey(name(), { type: NAME_TYPE, meaning: 'Where it stands.' }),
  host: describeKey(ipAddress(), { type: 'IP address', meaning: 'Where it is reached.' }),
  port: describeKey(port(), {
    type: 'whole number, 1 to 65535',
    meaning: 'Where it is reached; host and port together are unique.',
  }),
  slots: describeKey(z.int().min(1).max(MAX_SLOTS), {
    type: `whole number, 1 to ${MAX_SLOTS}`,
    unit: 'requests',
    meaning: 'How many requests it runs at once at full speed.',
  }),
  checksFencing: describeKey(z.boolean().default(false), {
    type: 'true or false',
    meaning: 'Whether its engine refuses an order that carries an old fencing number.',
  }),
  placement: describeKey(z.array(z.string().regex(PLACEMENT_PATTERN)).default([]), {
    type: 'list of "model[:adapter]@version"',
    meaning: 'What should be kept loaded here; the model must be one the service lists.',
  }),
  role: describeKey(z.enum(EngineRole).optional(), {
    type: '"mixed", "prefill" or "decode"',
    meaning: 'The role its engine should have; left as it is when absent.',
  }),
});

const workspace = z.strictObject({
  name: describeKey(name(), { type: NAME_TYPE, meaning: 'Unique; shown in metrics and logs.' }),
  apiKeyHashes: describeKey(z.array(z.string().regex(HASH_PATTERN)).min(1), {
    type: 'list of SHA-256 hashes (64 hexadecimal digits, lower case), at least one',
    meaning: 'The hash of each valid API key; `apricotrill key create` makes them.',
  }),
  weight: describeKey(z.number().positive().max(MAX_WEIGHT).default(1), {
    type: `number above 0, up to ${MAX_WEIGHT}`,
    meaning: 'Its share against other workspaces of the same tier.',
  }),
});

/** Schema of the register file. */
export const registerSchema = z.strictObject({
  services: describeKey(z.array(service), {
    type: 'list of services',
    meaning: 'What callers can ask for.',
  }),
  replicas: describeKey(z.array(replica), {
    type: 'list of replicas',
    meaning: 'The copies of each service.',
  }),
  workspaces: describeKey(z.array(workspace), {
    type: 'list of workspaces',
    meaning: 'The customers and their keys.',
  }),
});
