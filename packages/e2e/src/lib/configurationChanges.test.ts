import { ExitCode } from '@apricotrill/cli';
import { Fleet } from '../test/Fleet.js';
import type { ConfigurationFiles } from '../test/Fleet.js';
import { runOperator } from '../test/runOperator.js';

/** Makes an edit that changes only one workspace. */
function setWeight({ register }: ConfigurationFiles, weight: number): void {
  Object.assign(register.workspaces[0]!, { weight });
}

describe('configuration changes by operators, with real daemons', () => {
  const fleet = new Fleet();

  beforeAll(async () => {
    await fleet.prepare();
    await fleet.backends.startBackend('portal');
    await fleet.start(3);
  });

  afterAll(() => fleet.dispose());

  /** Returns the accepted generation according to the operators' command line. */
  async function getAccepted(): Promise<number> {
    const { output } = await fleet.runCommand('history', '--json');
    const { changes } = JSON.parse(output) as { changes: { generation: number }[] };
    return changes[0]!.generation;
  }

  async function writeEdit(weight: number): Promise<string[]> {
    const files = fleet.getFiles();
    setWeight(files, weight);
    return fleet.writeFiles(files);
  }

  it('puts an accepted change into force at all daemons, as apply, status and members report', async () => {
    const base = await getAccepted();
    const daemons = fleet.getDaemonOptions();
    const edit = await writeEdit(2);
    const different = await fleet.runCommand('diff', ...edit);
    expect(different.code).toBe(ExitCode.Different);
    expect(different.output).toContain('workspaces painotalo');
    expect(different.output).toContain(`apply --base ${base}`);

    const applied = await fleet.runCommand(
      'apply',
      '--base',
      String(base),
      '--wait',
      ...daemons,
      ...edit,
    );
    expect(applied.output).toContain(`generation ${base + 1} is in force at 3 of 3 live daemons`);
    expect(applied.code).toBe(ExitCode.Done);
    await Promise.all(fleet.daemons.map((daemon) => daemon.waitForGeneration(base + 1)));

    expect((await fleet.runCommand('diff', ...edit)).code).toBe(ExitCode.Done);
    const status = await fleet.runCommand('status', ...daemons);
    expect(status).toMatchObject({ code: ExitCode.Done });
    expect(status.output).toContain('in force at 3 of 3 live daemons');
    const members = await runOperator(['members', ...daemons]);
    expect(members.code).toBe(ExitCode.Done);
    fleet.daemons.forEach(({ id, availabilityZone }) => {
      expect(members.output).toMatch(new RegExp(`${id} +${availabilityZone} +alive +\\d{4}-`));
    });
  });

  // Guards against an edit that is silently overwritten. Two operators edit the same generation and
  // apply their edits at the same moment.
  it('accepts one of two concurrent changes and shows both to the operator whose change is refused', async () => {
    const base = String(await getAccepted());
    const [ana, bo] = [await writeEdit(3), await writeEdit(4)];
    const results = await Promise.all([
      fleet.runCommand('apply', '--base', base, '--author', 'ana', ...ana),
      fleet.runCommand('apply', '--base', base, '--author', 'bo', ...bo),
    ]);
    expect(results.map(({ code }) => code).sort()).toEqual([ExitCode.Done, ExitCode.Conflict]);
    const winner = results[0].code === ExitCode.Done ? 'ana' : 'bo';
    const loser = results.find(({ code }) => code === ExitCode.Conflict)!;
    const [theirs, mine] = winner === 'ana' ? [3, 4] : [4, 3];
    expect(loser.output).toContain(`by ${winner}`);
    expect(loser.output).toMatch(
      new RegExp(`theirs, since the base:.*weight.*${theirs}.*yours, since.*weight.*${mine}`, 's'),
    );
    expect(loser.output).toContain('touched by both: workspaces painotalo');
    const shown = await fleet.runCommand('show', 'register');
    expect(JSON.parse(shown.output)).toMatchObject({ workspaces: [{ weight: theirs }] });
    expect(await getAccepted()).toBe(Number(base) + 1);
  });

  // Guards against a change that is in force but reported as refused or lost, or that is accepted
  // twice. The store commits the update of the manifest, and the connection breaks before the
  // response. The client retries and must recognize its own update in the conflict.
  it('recognizes its own change when the response was lost', async () => {
    const base = await getAccepted();
    const edit = await writeEdit(5);
    const lost = { kind: 'lose-answers', count: 1, keyPrefix: 'config/manifest' } as const;
    await fleet.platform.injectFault(lost);
    const wait = ['--wait', ...fleet.getDaemonOptions()];
    const applied = await fleet.runCommand('apply', '--base', String(base), ...wait, ...edit);
    expect(applied.code).toBe(ExitCode.Done);
    expect(await getAccepted()).toBe(base + 1);
    const again = await fleet.runCommand('apply', '--base', String(base), ...edit);
    expect(again.code).toBe(ExitCode.Done);
    expect(await getAccepted()).toBe(base + 1);
  });
});
