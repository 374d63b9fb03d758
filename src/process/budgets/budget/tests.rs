use super::*;

#[test]
fn extra_attempts_are_limited_to_permille() {
    let mut budget = Budget::new(30, 10);
    let mut spent = 0;
    for n in 0..10_000 {
        let now = Duration::from_millis(n);
        budget.deposit(now, 1);
        spent += u32::from(budget.try_spend(now));
    }
    assert_eq!(spent, 300);
}

#[test]
fn overload_empties_budget_until_backoff_ends() {
    let ms = Duration::from_millis;
    let mut budget = Budget::new(1_000, 10);
    budget.deposit(ms(0), 5);
    budget.on_overload(ms(10));
    budget.deposit(ms(11), 5);
    assert!(!budget.try_spend(ms(1_009)));
    budget.deposit(ms(1_010), 1);
    assert!(budget.try_spend(ms(1_010)));
    assert!(!budget.try_spend(ms(1_010)));
}
