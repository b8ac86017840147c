import type {
  ApplyResult,
  ConfigurationChange,
  ConfigurationStore,
} from '@apricotrill/configuration';
import { StoreUnavailableError } from '@apricotrill/store';
import type { Milliseconds } from '@apricotrill/utils';
import { Command, Option } from 'clipanion';
import { askAnyDaemon } from '../daemons/fetchMembersFromAny.js';
import { askBehind } from '../daemons/refreshLaggingMembers.js';
import { pause, waitUntilInForce } from '../daemons/waitUntilInForce.js';
import {
  createDaemonOption,
  createRegisterOption,
  createRulesOption,
  getDaemons,
} from '../sharedOptions.js';
import { getRequired } from '../getRequired.js';
import { readConfiguration } from '../readFiles.js';
import type { Report } from '../Report.js';
import { StoreCommand, isCount } from '../StoreCommand.js';
import { getApplyReport } from './getApplyReport.js';
import { getChangeId } from './getChangeId.js';
import { getSpreadReport } from './getRolloutReport.js';

const DEFAULT_TIMEOUT: Milliseconds = 30000;
const RETRY_INTERVAL: Milliseconds = 500;
/** After so many generations, parts that nothing names any more are deleted. */
const GENERATIONS_PER_COLLECTION = 50;

/** The generation that holds the files' content now, if any does. */
function getAcceptedGeneration(outcome: ApplyResult): number | undefined {
  if (outcome.kind === 'accepted') {
    return outcome.change.generation;
  }
  return outcome.kind === 'unchanged' ? outcome.accepted.generation : undefined;
}

/** `apricotrill apply` */
export class ApplyCommand extends StoreCommand {
  static override paths = [['apply']];

  static override usage = Command.Usage({
    category: 'Edit',
    description: 'get the files accepted as the next generation',
    details: `
      Checks the files and has them accepted as a whole by one conditional update. \`--base\` is the
      generation they were made against, as \`diff\` prints it; 0 when nothing is accepted yet. If
      another change was accepted on the same base, nothing is applied and both sides are shown.

      When the store gives no answer, the command asks again until \`--timeout\` is over. A change
      whose confirmation was lost is found by its identity, also by running the same command again:
      it is never applied twice. Without \`--id\` the identity follows from the files, the base and
      the author.

      With \`--wait\` it ends when every live daemon has the change in force; the daemon named by
      \`--daemon\` says who is alive.

      Exit status: 0 accepted (with \`--wait\`: and in force), 2 files refused, 3 conflict, 4 no
      answer (the last line says whether the change may be accepted), 5 not in force everywhere in
      time, 7 the change cannot be accepted as it is.
    `,
    examples: [
      ['Accept the files made against generation 12', '$0 apply --base 12'],
      [
        'Wait until it is in force at all daemons',
        '$0 apply --base 12 --wait --daemon 10.0.0.1:8082 --daemon 10.0.0.2:8082',
      ],
    ],
  });

  register = createRegisterOption();

  rules = createRulesOption();

  base = Option.String('--base', {
    validator: isCount(0),
    description: 'The generation that the files were made against; 0 for the first.',
  });

  id = Option.String('--id', {
    description: 'The identity of the change; from its content, base and author by default.',
  });

  author = Option.String('--author', {
    description: 'Who makes the change; the user who runs the command by default.',
  });

  timeout = Option.String('--timeout', String(DEFAULT_TIMEOUT), {
    validator: isCount(0),
    description: `How long to keep asking, and to wait, in ms; ${DEFAULT_TIMEOUT} by default.`,
  });

  wait = Option.Boolean('--wait', false, {
    description: 'Wait until the change is in force at every live daemon; needs --daemon.',
  });

  daemon = createDaemonOption();

  protected async run(): Promise<Report> {
    const baseGeneration = Number(
      getRequired(this.base, '--base', 'diff prints the generation to give here; 0 for the first'),
    );
    const daemons = this.wait ? getDaemons(this.daemon) : [];
    const change = await this.readChange(baseGeneration);
    const outcome = await this.useStore((store) => this.applyInTime(store, change));
    const report = getApplyReport(outcome, change.changeId);
    const generation = getAcceptedGeneration(outcome);
    if (generation === undefined || !this.wait) {
      return report;
    }
    this.note(report.lines.join('\n'));
    return this.waitForSpread(daemons, generation);
  }

  private async readChange(baseGeneration: number): Promise<ConfigurationChange> {
    const configuration = await readConfiguration(this.register, this.rules);
    const author = this.author ?? this.context.userName;
    const changeId = this.id ?? getChangeId(configuration, baseGeneration, author);
    return { configuration, author, baseGeneration, changeId };
  }

  /** Asks with the same identity until there is an answer or time is up. */
  private async applyInTime(
    store: ConfigurationStore,
    change: ConfigurationChange,
  ): Promise<ApplyResult> {
    const { clock } = this.context;
    const end = clock.now() + Number(this.timeout);
    let mayBeAccepted = false;
    for (;;) {
      // eslint-disable-next-line no-await-in-loop -- each attempt follows the one before
      const outcome = await store.apply(change);
      if (outcome.kind !== 'unavailable') {
        // eslint-disable-next-line no-await-in-loop
        await this.collectGarbage(store, outcome);
        return outcome;
      }
      mayBeAccepted ||= outcome.mayBeAccepted;
      if (clock.now() >= end) {
        return { ...outcome, mayBeAccepted };
      }
      this.note(`no answer; asking again as change ${change.changeId}: ${outcome.error.message}`);
      // eslint-disable-next-line no-await-in-loop
      await pause(clock, RETRY_INTERVAL);
    }
  }

  /** Tidies up now and then; the change is accepted whether this succeeds or not. */
  private async collectGarbage(store: ConfigurationStore, outcome: ApplyResult): Promise<void> {
    const isDue =
      outcome.kind === 'accepted' && outcome.change.generation % GENERATIONS_PER_COLLECTION === 0;
    try {
      if (isDue) {
        await store.collectGarbage();
      }
    } catch (error) {
      if (!(error instanceof StoreUnavailableError)) {
        throw error;
      }
      this.note(`old parts stay until the next time: ${error.message}`);
    }
  }

  private async waitForSpread(daemons: string[], generation: number): Promise<Report> {
    const { clock } = this.context;
    const callTimeout = Number(this.callTimeout);
    const ask = async () => {
      const asked = await askAnyDaemon(this.context, daemons, callTimeout);
      return askBehind(this.context, asked, generation, callTimeout);
    };
    const asked = await waitUntilInForce(clock, ask, generation, Number(this.timeout));
    // Without any answer this last question fails with the reason why.
    const report = getSpreadReport(asked ?? (await ask()), generation);
    return { ...report, value: { accepted: generation, spread: report.value } };
  }
}
