import { readFile, mkdtemp, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { MANIFEST_KEY } from '@apricotrill/configuration';
import { getApiKeyHash } from '@apricotrill/model';
import { MemoryPlatformStore, StoreUnavailableError } from '@apricotrill/store';
import { ManualClock } from '@apricotrill/utils';
import { EXAMPLE_FILES, createOpenStore, createRunCli, getExample } from '../../test/runCli.js';
import { ExitCode } from '../../index.js';
import { COMMANDS } from '../createCli.js';
import { DaemonUnavailableError } from '../daemons/DaemonUnavailableError.js';
import type { MemberList } from '../daemons/MemberList.js';

/** Writes a copy of the example's register with one replacement, and returns the file options. */
async function createEditedFiles(from: string, to: string): Promise<string[]> {
  const text = await readFile(getExample('register.jsonc'), 'utf8');
  expect(text).toContain(from);
  const file = join(await mkdtemp(join(tmpdir(), 'apricotrill-')), 'register.jsonc');
  await writeFile(file, text.replace(from, to));
  return ['--register', file, '--rules', getExample('rules.jsonc')];
}

/** A store that stops answering once the manifest has been written. */
class StoreSilentAfterManifest extends MemoryPlatformStore {
  override async put(key: string, value: string, expectedVersion: number) {
    const outcome = await super.put(key, value, expectedVersion);
    if (key === MANIFEST_KEY) {
      this.applyFault({ kind: 'down' });
      throw new StoreUnavailableError('no answer', { step: 'store-put', peer: 'memory' });
    }
    return outcome;
  }
}

function createMembers(...generations: number[]): MemberList {
  const members = generations.map((generation, index) => ({
    id: `daemon-${index + 1}`,
    availabilityZone: 'espoo',
    state: 'alive',
    generation,
  }));
  return { self: 'daemon-1', generation: generations[0]!, members };
}

describe('apricotrill', () => {
  it.each(COMMANDS.map((command) => [command.paths.join(' ').replace(',', ' '), command] as const))(
    '%s has a description, details and examples',
    async (path, command) => {
      const { description, details, examples } = command.usage;
      expect({ description, details, examples }).toEqual({
        description: expect.any(String),
        details: expect.any(String),
        examples: expect.arrayContaining([expect.any(Array)]),
      });
      const { run } = createRunCli();
      expect((await run(...path.split(' '), '--help')).output).toContain('--json');
    },
  );

  it('prints the line, the reason and the expected value for an invalid file', async () => {
    const { run } = createRunCli();
    const files = await createEditedFiles('"port": 9102', '"port": 91020');
    const { exitCode, errors } = await run('validate', ...files);
    expect(exitCode).toBe(ExitCode.Refused);
    expect(errors).toMatch(
      /register\.jsonc:29:15: replicas\[1\]\.port: 91020 is not valid; expected whole number, 1 to 65535/,
    );
    const json = await run('validate', '--json', ...files);
    expect(JSON.parse(json.output).error.diagnostics).toMatchObject([{ line: 29, column: 15 }]);
  });

  // Guards against the stack of an error instead of what is wrong with the command line.
  it.each(['foo', 'http://', 'ftp://127.0.0.1:1'])(
    'names a URL that is not one: %s',
    async (url) => {
      const { run } = createRunCli({
        openStore: (text) => {
          throw new Error(`${text} must not be opened`);
        },
      });
      const { exitCode, output, errors } = await run('history', '--platform', url);
      expect(exitCode).toBe(ExitCode.Usage);
      expect(`${output}${errors}`).toContain(`--platform is not an HTTP URL: "${url}"`);
    },
  );

  it('shows the differences, and applies them to the base that diff prints', async () => {
    const { run } = createRunCli();
    expect((await run('diff', ...EXAMPLE_FILES)).exitCode).toBe(ExitCode.Different);
    expect((await run('apply', '--base', '0', ...EXAMPLE_FILES)).exitCode).toBe(ExitCode.Done);
    expect((await run('diff', ...EXAMPLE_FILES)).exitCode).toBe(ExitCode.Done);
    const files = await createEditedFiles('"weight": 2', '"weight": 3');
    const { output } = await run('diff', ...files);
    expect(output).toMatch(
      /~ workspaces offset-turku\n {4}weight: 2 → 3\nto accept this: apply --base 1\n/,
    );
    expect((await run('apply', '--base', '1', ...files)).output).toContain('generation 2 ');
    expect((await run('apply', '--base', '2', ...files)).output).toContain('nothing to apply');
    expect((await run('history')).output.match(/ bo /g)).toHaveLength(2);
    expect((await run('show', 'register', '--generation', '1')).output).not.toContain(
      '"weight": 3',
    );
  });

  // Guards against a change that is accepted twice: its confirmation is lost, the operator runs the
  // same command again, and the second run is treated as another change.
  it('treats a repeated command as the same change', async () => {
    const platform = new StoreSilentAfterManifest({ clock: new ManualClock() });
    const { run } = createRunCli({ openStore: () => createOpenStore(platform) });
    const first = await run('apply', '--base', '0', '--timeout', '1000', ...EXAMPLE_FILES);
    expect(first.exitCode).toBe(ExitCode.Unavailable);
    expect(first.output).toMatch(/change \w+ may be accepted; run the same command again/);
    platform.applyFault({ kind: 'up' });
    const again = await run('apply', '--base', '0', ...EXAMPLE_FILES);
    expect(again).toMatchObject({ exitCode: ExitCode.Done });
    expect(again.output).toContain('accepted: generation 1 ');
  });

  it('reports that nothing was applied if the store never answered', async () => {
    const { platform, run } = createRunCli();
    platform.applyFault({ kind: 'down' });
    const { exitCode, output } = await run('apply', '--base', '0', ...EXAMPLE_FILES);
    expect(exitCode).toBe(ExitCode.Unavailable);
    expect(output).toContain('nothing was applied');
  });

  // Guards against a lost edit: two operators edit generation 1, and the files of the second
  // replace those of the first because their base is not checked.
  it('shows both sides of a conflict and applies nothing', async () => {
    const { run } = createRunCli();
    await run('apply', '--base', '0', ...EXAMPLE_FILES);
    await run(
      'apply',
      '--base',
      '1',
      '--author',
      'ana',
      ...(await createEditedFiles('9101', '9111')),
    );
    const mine = await createEditedFiles('"weight": 2', '"weight": 3');
    const { exitCode, output } = await run('apply', '--base', '1', ...mine);
    expect(exitCode).toBe(ExitCode.Conflict);
    expect(output).toMatch(
      /by ana.*theirs, .*replicas kielimalli-1\n.*yours, .*workspaces offset-turku/s,
    );
    expect((await run('history')).output.match(/ bo /g)).toHaveLength(1);
  });

  it('reports at how many daemons the accepted generation is in force', async () => {
    const fetchMembers = () => Promise.resolve(createMembers(1, 0, 1));
    const { platform, run } = createRunCli({ fetchMembers });
    await run('apply', '--base', '0', ...EXAMPLE_FILES);
    const status = await run('status', '--daemon', '127.0.0.1:8082');
    expect(status.exitCode).toBe(ExitCode.NotInForce);
    expect(status.output).toContain('in force at 2 of 3 live daemons');
    platform.applyFault({ kind: 'down' });
    const blind = await run('status', '--daemon', '127.0.0.1:8082');
    expect(blind.exitCode).toBe(ExitCode.Unavailable);
    expect(blind.output).toMatch(/^accepted: unknown/);
  });

  // Guards against a change that is reported as incomplete for minutes after it is in force
  // everywhere, because the queried daemon has not heard from all others since. A daemon that does
  // not answer still counts as lagging.
  it('queries the daemons that appear to lag behind', async () => {
    const list = createMembers(1, 0, 0);
    const members = list.members.map((member) => ({ ...member, adminAddress: member.id }));
    const fetchMembers = (address: string) => {
      if (address === 'daemon-3') {
        return Promise.reject(new DaemonUnavailableError('-', { step: 'ask', peer: address }));
      }
      return Promise.resolve({ self: address, generation: 1, members });
    };
    const { run } = createRunCli({ fetchMembers });
    await run('apply', '--base', '0', ...EXAMPLE_FILES);
    const { exitCode, output } = await run('status', '--daemon', 'daemon-1');
    expect(exitCode).toBe(ExitCode.NotInForce);
    expect(output).toContain('in force at 2 of 3 live daemons');
    expect(output).toMatch(/daemon-3 .* 0 +1\n/);
  });

  it('waits until the change is in force at every daemon, whichever daemon answers', async () => {
    const answers = [createMembers(0, 0), createMembers(1, 0), createMembers(1, 1)];
    const fetchMembers = (address: string) =>
      address === '127.0.0.1:1'
        ? Promise.reject(new DaemonUnavailableError('refused', { step: 'ask', peer: address }))
        : Promise.resolve(answers.shift()!);
    const { run } = createRunCli({ fetchMembers });
    const daemons = ['--daemon', '127.0.0.1:1', '--daemon', '127.0.0.1:2'];
    const { exitCode, output } = await run(
      'apply',
      '--base',
      '0',
      '--wait',
      ...daemons,
      ...EXAMPLE_FILES,
    );
    expect(output).toContain('generation 1 is in force at 2 of 2 live daemons');
    expect({ exitCode, left: answers }).toEqual({ exitCode: ExitCode.Done, left: [] });
  });

  it('applies nothing if --wait is given without --daemon', async () => {
    const { run } = createRunCli();
    const { exitCode } = await run('apply', '--base', '0', '--wait', ...EXAMPLE_FILES);
    expect(exitCode).toBe(ExitCode.Usage);
    expect((await run('history')).output).toContain('nothing is accepted yet');
  });

  it('creates a key with its hash', async () => {
    const { run } = createRunCli();
    const { key, hash } = JSON.parse((await run('key', 'create', '--json')).output);
    expect(hash).toBe(getApiKeyHash(key));
  });

  it('explains the class of a request', async () => {
    const { run } = createRunCli();
    const request = ['--service', 'jasenportaali', '--workspace', 'painola'];
    const post = await run(
      'explain',
      ...request,
      '--method',
      'post',
      '--path',
      '/holds',
      ...EXAMPLE_FILES,
    );
    expect(post.output).toMatch(/classRules\[0\].*method is not "GET"\nclassRules\[1\] matches/);
    const none = ['--service', 'other', '--workspace', 'painola'];
    expect((await run('explain', ...none, ...EXAMPLE_FILES)).exitCode).toBe(ExitCode.NoClass);
  });
});
