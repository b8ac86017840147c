import { z } from 'zod';
import { describeKey } from './describeKey.js';
import { NAME_FORM, ipAddress, listeningPort, name, port, span } from './scalars.js';

const PORT_FORM = 'whole number, 0 to 65535';
const MEBIBYTE = 2 ** 20;
const DEFAULT_PORT = 8080;
const DEFAULT_MESH_PORT = 8081;
const DEFAULT_ADMIN_PORT = 8082;
const DEFAULT_BODY_TIMEOUT = 10000;
const DEFAULT_HEADERS_TIMEOUT = 5000;
const LARGEST_BODY = 64 * MEBIBYTE;

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
      .max(LARGEST_BODY)
      .default(4 * MEBIBYTE),
    {
      type: `whole number, 1 to ${LARGEST_BODY}`,
      unit: 'bytes',
      meaning: 'The largest request body; a larger one is answered 413.',
    },
  ),
  bodyTimeoutMs: describeKey(span().default(DEFAULT_BODY_TIMEOUT), {
    type: 'whole number, 1 or more',
    unit: 'ms',
    meaning: 'A body that has not arrived by then is answered 408.',
  }),
  headersTimeoutMs: describeKey(span().default(DEFAULT_HEADERS_TIMEOUT), {
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

/** The file of a daemon's settings. */
export const settingsSchema = z.strictObject({
  id: describeKey(name(), {
    type: NAME_FORM,
    meaning: "Unique among the daemons; the same as in the platform's list of instances.",
  }),
  region: describeKey(name(), { type: NAME_FORM, meaning: 'The region it stands in.' }),
  availabilityZone: describeKey(name(), { type: NAME_FORM, meaning: 'Where it stands.' }),
  host: describeKey(ipAddress(), {
    type: 'IP address',
    meaning: 'The address all its ports are bound to, and other daemons reach it at.',
  }),
  port: describeKey(listeningPort().default(DEFAULT_PORT), {
    type: PORT_FORM,
    meaning: 'For callers. 0 takes any free port, which the start-up line names.',
  }),
  meshPort: describeKey(listeningPort().default(DEFAULT_MESH_PORT), {
    type: PORT_FORM,
    meaning: 'For other daemons. 0 takes any free port.',
  }),
  adminPort: describeKey(listeningPort().default(DEFAULT_ADMIN_PORT), {
    type: PORT_FORM,
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
