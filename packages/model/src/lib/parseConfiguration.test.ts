import { readFileSync } from 'node:fs';
import { formatDiagnostic, parseConfiguration, parseSettings } from '../index.js';
import type { Configuration } from '../index.js';

const EXAMPLES = new URL('../../../../examples/', import.meta.url);

function readExample(deployment: string) {
  const read = (file: string) => readFileSync(new URL(`${deployment}/${file}`, EXAMPLES), 'utf8');
  return {
    registerText: read('register.jsonc'),
    registerFile: 'register.jsonc',
    rulesText: read('rules.jsonc'),
    rulesFile: 'rules.jsonc',
  };
}

/** Parses the Liitto example with one replacement and returns the formatted diagnostics. */
function getFormattedFaults(from: string, to: string): string[] {
  const source = readExample('liitto');
  const replaced = (text: string) => text.replace(from, to);
  expect(source.registerText + source.rulesText).toContain(from);
  const parsed = parseConfiguration({
    ...source,
    registerText: replaced(source.registerText),
    rulesText: replaced(source.rulesText),
  });
  return parsed.ok ? [] : parsed.error.map(formatDiagnostic);
}

function getParsed(deployment: string): Configuration {
  const parsed = parseConfiguration(readExample(deployment));
  if (!parsed.ok) {
    throw new Error(parsed.error.map(formatDiagnostic).join('\n'));
  }
  return parsed.value;
}

describe('parseConfiguration', () => {
  it('accepts both example deployments', () => {
    const liitto = getParsed('liitto');
    expect(liitto.register.replicas).toHaveLength(12);
    expect(new Set(liitto.register.replicas.map((entry) => entry.availabilityZone)).size).toBe(4);
    expect(liitto.register.workspaces).toHaveLength(10);
    const nubeTica = getParsed('nube-tica');
    expect(nubeTica.register.replicas).toHaveLength(9);
    expect(new Set(nubeTica.register.replicas.map((entry) => entry.availabilityZone)).size).toBe(3);
    expect(nubeTica.register.workspaces).toHaveLength(10);
  });

  it('fills in the documented defaults', () => {
    const [replica] = getParsed('nube-tica').register.replicas;
    expect(replica!.checksFencing).toBe(false);
    const [serviceClass] = getParsed('nube-tica').rules.classes;
    expect(serviceClass).toMatchObject({ preemptible: false, target: { tokenGap: 0 } });
  });

  // Each row is a mistake by an operator. Without its check, the mistake passes validation, is applied
  // and only becomes apparent through refused or misrouted requests.
  it.each([
    [
      '"tier": 2',
      '"tier": 6',
      /^rules\.jsonc:24:\d+: classes\[2\]\.tier: 6 is not valid; expected whole number, 0 to 5$/,
    ],
    ['"tier": 2', '"tear": 2', /tear: unknown key "tear"; expected "tier"$/],
    ['"tier": 2,', '', /classes\[2\]\.tier: missing; expected whole number/],
    ['"tier": 2,', '"tier": 2, "tier": 2,', /key "tier" is written twice/],
    [
      '"classes": [',
      '"classes": ',
      /^rules\.jsonc:14:5: property name expected; expected JSON with comments$/m,
    ],
    [
      '"deadline": 10000',
      '"deadline": 700',
      /deadline of 700 ms is below the target of 800 ms; expected at least 800/,
    ],
    ['"floor": 0.1', '"floor": 0.15', /^$/],
    [
      '"repeatable": false',
      '"repeatable": false, "preemptible": true',
      /cannot be stopped and resumed/,
    ],
    [
      '"method": "GET", "class": "status-check"',
      '"class": "status-chekc"',
      /unknown class "status-chekc"; expected "status-check"/,
    ],
    [
      '"method": "GET", "class": "status-check"',
      '"class": "status-check"',
      /classRules\[1\]: never matches, because classRules\[0\]/,
    ],
    [
      '"service": "jasenportaali", "method"',
      '"service": "jasenportali", "method"',
      /classRules\[0\]\.service: unknown service "jasenportali"; expected "jasenportaali"/,
    ],
    [
      '"maxTokensAtMost"',
      '"method": "GET", "maxTokensAtMost"',
      /"method" never holds for a model service/,
    ],
    [
      '"wishedClass": "quote-draft"',
      '"workspace": "painla"',
      /unknown workspace "painla"; expected "painola"/,
    ],
    ['"id": "kielimalli-2"', '"id": "kielimalli-1"', /replica id "kielimalli-1" is used twice/],
    ['"port": 9102', '"port": 9101', /address "127.0.0.1:9101" is used twice/],
    [
      '"service": "kielimalli"',
      '"service": "kieli"',
      /replicas\[0\]\.service: unknown service "kieli"/,
    ],
    [
      '["kielimalli@3"]',
      '["kielimallli@3"]',
      /does not list the model "kielimallli"; expected a model of that service: "kielimalli"/,
    ],
    [
      '["kielimalli@3"]',
      '["kielimalli"]',
      /placement\[0\]: "kielimalli" is not valid; expected list of "model\[:adapter\]@version"/,
    ],
    ['"models": ["kielimalli"],', '', /a model service lists no model/],
    ['"host": "127.0.0.1"', '"host": "localhost"', /"localhost" is not valid; expected IP address/],
    ['"apiKeyHashes": ["', '"apiKeyHashes": ["0', /expected list of SHA-256 hashes/],
    ['"name": "kirjapaino-savo"', '"name": "painola"', /workspace name "painola" is used twice/],
  ])('%s → %s', (from, to, expected) => {
    expect(getFormattedFaults(from, to).join('\n')).toMatch(expected);
  });

  it('refuses floors that sum to half or more', () => {
    const source = readExample('liitto');
    const rulesText = source.rulesText.replaceAll('"floor": 0.1', '"floor": 0.125');
    const parsed = parseConfiguration({ ...source, rulesText });
    expect(parsed.ok ? [] : parsed.error.map(({ path, reason }) => `${path}: ${reason}`)).toEqual([
      'classes[3].floor: the floors up to here sum to 0.5',
    ]);
  });
});

describe('parseSettings', () => {
  const settings = {
    id: 'daemon-1',
    region: 'etela-suomi',
    availabilityZone: 'espoo',
    host: '127.0.0.1',
    platformUrl: 'http://127.0.0.1:9000',
  };

  it('fills in the documented defaults', () => {
    const parsed = parseSettings(`// one daemon\n${JSON.stringify(settings)}`, 'settings.jsonc');
    expect(parsed).toEqual({
      ok: true,
      value: {
        ...settings,
        port: 8080,
        meshPort: 8081,
        adminPort: 8082,
        seeds: [],
        limits: { maxBodyBytes: 4194304, bodyTimeoutMs: 10000, headersTimeoutMs: 5000 },
      },
    });
  });

  it.each([
    [
      { meshport: 1 },
      /^settings\.jsonc:1:\d+: meshport: unknown key "meshport"; expected "meshPort"$/,
    ],
    [{ adminPort: 8081 }, /adminPort: port "8081" is used twice/],
    [{ platformUrl: '127.0.0.1:9000' }, /platformUrl: .*expected URL that starts with/],
    [{ limits: { maxBodyBytes: -1 } }, /limits\.maxBodyBytes: -1 is not valid/],
    [{ tls: { certFile: 'cert.pem' } }, /tls\.keyFile: missing; expected file name/],
  ])('refuses %j', (change, expected) => {
    const parsed = parseSettings(JSON.stringify({ ...settings, ...change }), 'settings.jsonc');
    expect(parsed.ok ? '' : parsed.error.map(formatDiagnostic).join('\n')).toMatch(expected);
  });
});
