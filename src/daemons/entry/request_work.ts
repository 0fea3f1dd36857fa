import type {ResolvedRequest} from '../../calls/index.js';
import {promptPrefix, promptText} from '../../routing/index.js';
import type {PromptPrefix} from '../../routing/index.js';

const BYTES_PER_TOKEN = 4;
/** Assumed tokens of an answer if the request sets no maximum. */
const DEFAULT_MAX_TOKENS = 256;

/** Estimated work of a call. */
export interface RequestWork {
  /** Hashes of the prompt's leading blocks, if it has a prompt. */
  readonly prefix?: PromptPrefix;
  /** Estimated tokens of prompt and answer; 1 for plain services. */
  readonly cost: number;
}

interface Completion {
  readonly messages?: unknown;
  readonly prompt?: unknown;
  readonly max_tokens?: unknown;
  readonly max_completion_tokens?: unknown;
}

/**
 * Estimates the work of a call; calls to plain services cost one each.
 * @param resolved - the request as resolved by the configuration
 * @param body - body of the request
 */
export function estimateWork(
  {service}: ResolvedRequest,
  body: Buffer,
): RequestWork {
  if (service.kind !== 'model') return {cost: 1};
  const completion = JSON.parse(body.toString('utf8')) as Completion;
  const {max_tokens, max_completion_tokens} = completion;
  const maxTokens = Number(max_completion_tokens ?? max_tokens);
  const answerTokens = maxTokens > 0 ? maxTokens : DEFAULT_MAX_TOKENS;
  const promptTokens = Math.ceil(body.length / BYTES_PER_TOKEN);
  const prefix = promptPrefix(promptText(completion));
  return {prefix, cost: promptTokens + answerTokens};
}
