import { z } from 'zod';
import { describeKey } from './describeKey.js';
import { NAME_TYPE, ipAddress, listeningPort, name, port, durationMs } from './scalars.js';

const PORT_TYPE = 'whole number, 0 to 65535';
const MEBIBYTE = 2 ** 20;
const DEFAULT_PORT = 8080;
const DEFAULT_MESH_PORT = 8081;
const DEFAULT_ADMIN_PORT = 8082;
const DEFAULT_BODY_TIMEOUT_MS = 10000;
const DEFAULT_HEADERS_TIMEOUT_MS = 5000;
const MAX_BODY_BYTES = 64 * MEBIBYTE;

const seed = z.strictObject({
  host: describeKey(ipAddress(), { type: 'IP address', meaning: 'Where the daemon is reached.' }),
  port: describeKey(port().default(DEFAULT_MESH_PORT), {
    type: 'whole number, 1 to 65535',
    meaning: 'Its `meshPort`.',
  }),
});

const limits = z.strictObject({
  maxBodyBytes: describeKey(
    z
      .int()
      .min(1)
      .max(MAX_BODY_BYTES)
      .default(4 * MEBIBYTE),
    {
      type: `whole number, 1 to ${MAX_BODY_BYTES}`,
      unit: 'bytes',
      meaning: 'The largest request body; a larger one is answered 413.',
    },
  ),
  bodyTimeoutMs: describeKey(durationMs().default(DEFAULT_BODY_TIMEOUT_MS), {
    type: 'whole number, 1 or more',
    unit: 'ms',
    meaning: 'A body that has not arrived by then is answered 408.',
  }),
  headersTimeoutMs: describeKey(durationMs().default(DEFAULT_HEADERS_TIMEOUT_MS), {
    type: 'whole number, 1 or more',
    unit: 'ms',
    meaning: 'A connection whose headers have not arrived by then is closed.',
  }),
});

const file = (meaning: string) => describeKey(z.string().min(1), { type: 'file name', meaning });

const tls = z.strictObject({
  certFile: file('The certificate of this daemon, in PEM form.'),
  keyFile: file('Its private key, in PEM form.'),
  caFile: file('The authority that signs the certificates of the other daemons.'),
});

/** Schema of a daemon's settings file. */
export const settingsSchema = z.strictObject({
  id: describeKey(name(), {
    type: NAME_TYPE,
    meaning: "Unique among the daemons; the same as in the platform's list of instances.",
  }),
  region: describeKey(name(), { type: NAME_TYPE, meaning: 'The region it stands in.' }),
  availabilityZone: describeKey(name(), { type: NAME_TYPE, meaning: 'Where it stands.' }),
  host: describeKey(ipAddress(), {
    type: 'IP address',
    meaning: 'The address all its ports are bound to, and other daemons reach it at.',
  }),
  port: describeKey(listeningPort().default(DEFAULT_PORT), {
    type: PORT_TYPE,
    meaning: 'For callers. 0 takes any free port, which the start-up line names.',
  }),
  meshPort: describeKey(listeningPort().default(DEFAULT_MESH_PORT), {
    type: PORT_TYPE,
    meaning: 'For other daemons. 0 takes any free port.',
  }),
  adminPort: describeKey(listeningPort().default(DEFAULT_ADMIN_PORT), {
    type: PORT_TYPE,
    meaning: 'For metrics, readiness and operators. 0 takes any free port.',
  }),
  platformUrl: describeKey(z.url({ protocol: /^https?$/ }), {
    type: 'URL that starts with "http://" or "https://"',
    meaning: "The platform's object store and list of instances.",
  }),
  seeds: describeKey(z.array(seed).default([]), {
    type: 'list of addresses',
    meaning: 'Other daemons to ask first; the list of instances adds more.',
  }),
  limits: describeKey(limits.prefault({}), {
    type: 'object',
    meaning: 'What one caller may use of the daemon.',
  }),
  tls: describeKey(tls.optional(), {
    type: 'object',
    meaning: 'Certificates towards callers and between daemons; plain connections when absent.',
  }),
});
