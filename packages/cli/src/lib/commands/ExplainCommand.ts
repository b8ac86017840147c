import { ClassMatcher } from '@apricotrill/model';
import type {
  ClassRule,
  RequestAttributes,
  RuleEvaluation,
  Rules,
  ServiceClass,
} from '@apricotrill/model';
import { Command, Option } from 'clipanion';
import { createRegisterOption, createRulesOption } from '../sharedOptions.js';
import { ExitCode } from '../ExitCode.js';
import { getRequired } from '../getRequired.js';
import { OperatorCommand } from '../OperatorCommand.js';
import { readConfiguration } from '../readFiles.js';
import type { Report } from '../Report.js';
import { isCount } from '../StoreCommand.js';

function getTrialLine({ index, rule, failed }: RuleEvaluation): string {
  if (failed === undefined) {
    return `classRules[${index}] matches: class ${rule.class}`;
  }
  const wanted = rule[failed as keyof ClassRule];
  return `classRules[${index}] (${rule.class}) does not: ${failed} is not ${JSON.stringify(wanted)}`;
}

function getClassLines(serviceClass: ServiceClass | undefined): string[] {
  if (serviceClass === undefined) {
    return ['no rule matches: such a request is refused'];
  }
  const { name, tier, target, deadline, floor, preemptible, repeatable } = serviceClass;
  return [
    `class ${name}: tier ${tier}, target ${target.firstToken} ms, deadline ${deadline} ms, floor ${floor}`,
    `${repeatable ? 'may' : 'may not'} be repeated, ${preemptible ? 'may' : 'may not'} be preempted`,
  ];
}

/** Rules of other services say nothing about the request. */
function getOwnTrials(rules: Rules, facts: RequestAttributes): RuleEvaluation[] {
  return new ClassMatcher(rules).explain(facts).filter(({ failed }) => failed !== 'service');
}

/** `apricotrill explain` */
export class ExplainCommand extends OperatorCommand {
  static override paths = [['explain']];

  static override usage = Command.Usage({
    category: 'Edit',
    description: 'show which class a request would get, and why',
    details: `
      Tries the rules of the file in order against a request described by options, and prints for
      each rule of its service why it does not match, up to the one that decides. Nothing is sent
      anywhere.

      Exit status: 0 a rule matches, 8 none does, 2 files refused.
    `,
    examples: [
      [
        'An order hold',
        '$0 explain --service jasenportaali --workspace painola --method POST --path /holds',
      ],
      ['A short question', '$0 explain --service kielimalli --workspace painola --max-tokens 200'],
    ],
  });

  register = createRegisterOption();

  rules = createRulesOption();

  service = Option.String('--service', { description: 'The service called.' });

  workspace = Option.String('--workspace', { description: 'Who calls.' });

  method = Option.String('--method', { description: 'The HTTP method of a plain call.' });

  calledPath = Option.String('--path', { description: 'The path of a plain call.' });

  maxTokens = Option.String('--max-tokens', {
    validator: isCount(1),
    description: 'The most tokens a chat request asks for.',
  });

  wish = Option.String('--wish', {
    description: 'The class wished for by the x-apricotrill-class header.',
  });

  protected async run(): Promise<Report> {
    const { rules } = await readConfiguration(this.register, this.rules);
    const facts = this.getFacts();
    const serviceClass = new ClassMatcher(rules).getClass(facts);
    const trials = getOwnTrials(rules, facts);
    return {
      exitCode: serviceClass === undefined ? ExitCode.NoClass : ExitCode.Done,
      lines: [...trials.map(getTrialLine), ...getClassLines(serviceClass)],
      value: { class: serviceClass ?? null, trials },
    };
  }

  private getFacts(): RequestAttributes {
    const { service, workspace, method, calledPath, maxTokens, wish } = this;
    return {
      service: getRequired(service, '--service', 'name the service called'),
      workspace: getRequired(workspace, '--workspace', 'name the workspace that calls'),
      method: method?.toUpperCase(),
      path: calledPath,
      maxTokens: maxTokens === undefined ? undefined : Number(maxTokens),
      wishedClass: wish,
    };
  }
}
