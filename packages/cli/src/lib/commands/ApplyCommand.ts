import type {
  ApplyResult,
  ConfigurationChange,
  ConfigurationStore,
} from '@apricotrill/configuration';
import { StoreUnavailableError } from '@apricotrill/store';
import type { Milliseconds } from '@apricotrill/utils';
import { Command, Option } from 'clipanion';
import { fetchMembersFromAny } from '../daemons/fetchMembersFromAny.js';
import { refreshLaggingMembers } from '../daemons/refreshLaggingMembers.js';
import { delay, waitUntilInForce } from '../daemons/waitUntilInForce.js';
import {
  createDaemonOption,
  createRegisterOption,
  createRulesOption,
  getDaemons,
} from '../sharedOptions.js';
import { getRequiredOption } from '../getRequiredOption.js';
import { readConfiguration } from '../readFiles.js';
import type { Report } from '../Report.js';
import { StoreCommand, isIntegerFrom } from '../StoreCommand.js';
import { getApplyReport } from './getApplyReport.js';
import { getChangeId } from './getChangeId.js';
import { getRolloutReport } from './getRolloutReport.js';

const DEFAULT_TIMEOUT_MS: Milliseconds = 30000;
const RETRY_INTERVAL_MS: Milliseconds = 500;
/** Parts that are no longer referenced are deleted once in this many generations. */
const GENERATIONS_PER_COLLECTION = 50;

/** Returns the accepted generation that has the content of the files, if there is one. */
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
    description: 'apply the files as the next generation',
    details: `
      Validates the files and applies them as a whole with one conditional update. \`--base\` is the
      generation they are based on, as printed by \`diff\`; 0 if nothing is accepted yet. If another
      change was accepted on the same base, nothing is applied and both sides are shown.

      If the store does not answer, the command retries until \`--timeout\` expires. A change whose
      confirmation was lost is recognized by its id and never applied twice, also when the same
      command is run again. Without \`--id\`, the id is derived from the files, the base and the
      author.

      With \`--wait\`, the command ends when the change is in force at every live daemon; the list of
      live daemons comes from a daemon given by \`--daemon\`.

      Exit status: 0 accepted (with \`--wait\`: and in force), 2 files refused, 3 conflict, 4 no
      answer (the last line says whether the change may be accepted), 5 not in force everywhere in
      time, 7 the change cannot be accepted.
    `,
    examples: [
      ['Apply files that are based on generation 12', '$0 apply --base 12'],
      [
        'Wait until it is in force at all daemons',
        '$0 apply --base 12 --wait --daemon 10.0.0.1:8082 --daemon 10.0.0.2:8082',
      ],
    ],
  });

  register = createRegisterOption();

  rules = createRulesOption();

  base = Option.String('--base', {
    validator: isIntegerFrom(0),
    description: 'The generation that the files are based on; 0 for the first.',
  });

  id = Option.String('--id', {
    description: 'The id of the change; derived from its content, base and author by default.',
  });

  author = Option.String('--author', {
    description: 'The author of the change; the user who runs the command by default.',
  });

  timeout = Option.String('--timeout', String(DEFAULT_TIMEOUT_MS), {
    validator: isIntegerFrom(0),
    description: `How long to retry, and how long to wait, in ms; ${DEFAULT_TIMEOUT_MS} by default.`,
  });

  wait = Option.Boolean('--wait', false, {
    description: 'Wait until the change is in force at every live daemon; requires --daemon.',
  });

  daemon = createDaemonOption();

  protected async run(): Promise<Report> {
    const baseGeneration = Number(
      getRequiredOption(
        this.base,
        '--base',
        'give the generation that diff prints; 0 for the first',
      ),
    );
    const daemons = this.wait ? getDaemons(this.daemon) : [];
    const change = await this.readChange(baseGeneration);
    const outcome = await this.useStore((store) => this.applyWithRetries(store, change));
    const report = getApplyReport(outcome, change.changeId);
    const generation = getAcceptedGeneration(outcome);
    if (generation === undefined || !this.wait) {
      return report;
    }
    this.printProgress(report.lines.join('\n'));
    return this.waitForRollout(daemons, generation);
  }

  private async readChange(baseGeneration: number): Promise<ConfigurationChange> {
    const configuration = await readConfiguration(this.register, this.rules);
    const author = this.author ?? this.context.userName;
    const changeId = this.id ?? getChangeId(configuration, baseGeneration, author);
    return { configuration, author, baseGeneration, changeId };
  }

  /** Retries with the same id until the store answers or the timeout expires. */
  private async applyWithRetries(
    store: ConfigurationStore,
    change: ConfigurationChange,
  ): Promise<ApplyResult> {
    const { clock } = this.context;
    const deadline = clock.now() + Number(this.timeout);
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
      if (clock.now() >= deadline) {
        return { ...outcome, mayBeAccepted };
      }
      this.printProgress(`no answer; retrying change ${change.changeId}: ${outcome.error.message}`);
      // eslint-disable-next-line no-await-in-loop
      await delay(clock, RETRY_INTERVAL_MS);
    }
  }

  /** Deletes unreferenced parts when due; a failure does not affect the accepted change. */
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
      this.printProgress(`unreferenced parts were not deleted: ${error.message}`);
    }
  }

  private async waitForRollout(daemons: string[], generation: number): Promise<Report> {
    const { clock } = this.context;
    const callTimeout = Number(this.callTimeout);
    const fetchAnswer = async () => {
      const answer = await fetchMembersFromAny(this.context, daemons, callTimeout);
      return refreshLaggingMembers(this.context, answer, generation, callTimeout);
    };
    const answer = await waitUntilInForce(clock, fetchAnswer, generation, Number(this.timeout));
    // If no daemon answered, this last query throws the error.
    const report = getRolloutReport(answer ?? (await fetchAnswer()), generation);
    return { ...report, value: { accepted: generation, spread: report.value } };
  }
}
