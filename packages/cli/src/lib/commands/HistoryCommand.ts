import { getAcceptedChange } from '@apricotrill/configuration';
import type { AcceptedChange, Manifest } from '@apricotrill/configuration';
import { Command } from 'clipanion';
import { ExitCode } from '../ExitCode.js';
import type { Report } from '../Report.js';
import { StoreCommand } from '../StoreCommand.js';
import { formatTime } from '../text/formatChange.js';
import { formatTable } from '../text/formatTable.js';

function getChanges(manifest: Manifest | undefined): AcceptedChange[] {
  return manifest === undefined ? [] : [getAcceptedChange(manifest), ...manifest.recent];
}

/** `apricotrill history` */
export class HistoryCommand extends StoreCommand {
  static override paths = [['history']];

  static override usage = Command.Usage({
    category: 'Watch',
    description: 'list the most recent accepted changes',
    details: `
      Prints the accepted change and the changes before it that the manifest still lists, newest
      first, with generation, time, author and id.

      Exit status: 0 answered, 4 no answer from the store.
    `,
    examples: [['Show the most recent changes', '$0 history --platform http://127.0.0.1:8500']],
  });

  protected async run(): Promise<Report> {
    const changes = getChanges(await this.useStore((store) => store.readManifest()));
    const rows = changes.map(({ generation, changeId, author, acceptedAt }) => [
      String(generation),
      formatTime(acceptedAt),
      author,
      changeId,
    ]);
    const lines =
      rows.length === 0
        ? ['nothing is accepted yet']
        : formatTable([['generation', 'accepted', 'author', 'change'], ...rows]);
    return { exitCode: ExitCode.Done, lines, value: { changes } };
  }
}
