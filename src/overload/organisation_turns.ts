import type {OrganisationName} from '../core/index.js';
import {RankedSet} from './ranked_set.js';
import type {RankKey} from './ranked_set.js';

/** An item with an owner, and its place among the items of this owner. */
export interface OwnedItem {
  readonly organisation: OrganisationName | undefined;
  readonly key: RankKey;
}

/** Items of one organisation. */
interface Account<T> {
  readonly seq: number;
  /** Work that it was given, as of its present turn. */
  given: number;
  readonly items: RankedSet<T>;
}

/**
 * Items of several organisations, which take turns by the work that each was
 * given (start-time fair queueing). One that has been idle has no claim to the
 * turns that it left out.
 */
export class OrganisationTurns<T extends OwnedItem> {
  private readonly accounts = new Map<
    OrganisationName | undefined,
    Account<T>
  >();
  private readonly active = new RankedSet<Account<T>>();
  /** Active accounts in the order in which they are checked. */
  private readonly toCheck = new Set<Account<T>>();
  private latestTurn = 0;
  private accountCount = 0;
  private itemCount = 0;

  /** Number of items. */
  get size(): number {
    return this.itemCount;
  }

  /** The next item; undefined if there is none. */
  get first(): T | undefined {
    return this.active.first?.items.first;
  }

  /**
   * Adds an item.
   * @param item - the item
   */
  add(item: T): void {
    const account = this.accountOf(item.organisation);
    if (account.items.size === 0) {
      account.given = Math.max(account.given, this.latestTurn);
      this.active.add(keyOf(account), account);
      this.toCheck.add(account);
    }
    account.items.add(item.key, item);
    this.itemCount += 1;
  }

  /**
   * Removes an item.
   * @param item - the item
   */
  delete(item: T): void {
    const account = this.accountOf(item.organisation);
    account.items.delete(item.key);
    this.itemCount -= 1;
    if (account.items.size > 0) return;
    this.active.delete(keyOf(account));
    this.toCheck.delete(account);
    if (account.given <= this.latestTurn)
      this.accounts.delete(item.organisation);
  }

  /**
   * Charges an item that was given its turn to its organisation.
   * @param item - the item, which was removed
   * @param work - its work
   */
  charge({organisation}: T, work: number): void {
    const account = this.accountOf(organisation);
    const isActive = account.items.size > 0;
    if (isActive) this.active.delete(keyOf(account));
    this.latestTurn = Math.max(this.latestTurn, account.given);
    account.given += work;
    if (isActive) this.active.add(keyOf(account), account);
  }

  /**
   * Returns the number of items that are expected to be ahead of one.
   * @param item - the item
   */
  ahead({organisation, key}: T): number {
    const {items} = this.accountOf(organisation);
    const own = items.countBefore(key);
    const others = this.itemCount - items.size;
    return own + Math.min(others, own * (this.active.size - 1));
  }

  /**
   * Returns the last item of an organisation.
   * @param organisation - the organisation
   */
  lastOf(organisation: OrganisationName | undefined): T | undefined {
    return this.accounts.get(organisation)?.items.last;
  }

  /** Returns the last item of the organisation with the most work given. */
  get last(): T | undefined {
    return this.active.last?.items.last;
  }

  /**
   * Returns the items of some organisations, of others at the next call.
   * @param count - number of organisations
   */
  nextToCheck(count: number): RankedSet<T>[] {
    const checked: Account<T>[] = [];
    for (const account of this.toCheck) {
      if (checked.length === count) break;
      checked.push(account);
    }
    for (const account of checked) {
      this.toCheck.delete(account);
      this.toCheck.add(account);
    }
    return checked.map(({items}) => items);
  }

  private accountOf(organisation: OrganisationName | undefined): Account<T> {
    let account = this.accounts.get(organisation);
    if (account === undefined) {
      const seq = this.accountCount++;
      account = {seq, given: this.latestTurn, items: new RankedSet<T>()};
      this.accounts.set(organisation, account);
    }
    return account;
  }
}

function keyOf<T>({given, seq}: Account<T>): RankKey {
  return {rank: given, seq};
}
