/** Characters of a block of a prompt. */
export const BLOCK_CHARACTERS = 1_024;
/** Blocks of a prompt that are hashed; what follows is not told apart. */
export const MAX_PREFIX_BLOCKS = 32;

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Hashes of the leading blocks of a prompt, each with all before it. */
export type PromptPrefix = readonly number[];

/**
 * Hashes the whole leading blocks of a prompt (32-bit FNV-1a, chained). Equal
 * hashes are a hint that two prompts start alike, never a proof.
 * @param prompt - text of the prompt
 */
export function promptPrefix(prompt: string): PromptPrefix {
  const blocks = Math.floor(prompt.length / BLOCK_CHARACTERS);
  const hashedBlocks = Math.min(blocks, MAX_PREFIX_BLOCKS);
  const prefix: number[] = [];
  let hash = FNV_OFFSET;
  let index = 0;
  for (let block = 0; block < hashedBlocks; block++) {
    const end = index + BLOCK_CHARACTERS;
    for (; index < end; index++) {
      hash = Math.imul(hash ^ prompt.charCodeAt(index), FNV_PRIME);
    }
    prefix.push(hash >>> 0);
  }
  return prefix;
}

interface Message {
  readonly role?: unknown;
  readonly content?: unknown;
}

/**
 * The text whose start engines can have cached, from a completion's body.
 * @param body - the parsed body
 */
export function promptText(body: {
  readonly messages?: unknown;
  readonly prompt?: unknown;
}): string {
  if (typeof body.prompt === 'string') return body.prompt;
  if (!Array.isArray(body.messages)) return '';
  let text = '';
  for (const message of body.messages as (Message | null)[]) {
    if (message === null) continue;
    const {role, content} = message;
    const part =
      typeof content === 'string' ? content : JSON.stringify(content);
    text += `${String(role)}\n${part ?? ''}\n`;
    if (text.length >= BLOCK_CHARACTERS * MAX_PREFIX_BLOCKS) break;
  }
  return text;
}
